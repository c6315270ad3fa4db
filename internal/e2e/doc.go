// Package e2e contains tests that run pathhead's programs and the stand-ins as real processes,
// and that kill, suspend and disconnect them.
package e2e
