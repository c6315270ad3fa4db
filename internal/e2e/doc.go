// Package e2e holds the tests that run pathhead's programs as real processes
// with the stand-ins beside them, and kill, freeze and cut them.
package e2e
