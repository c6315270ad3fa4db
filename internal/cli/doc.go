// Package cli holds what pathhead's programs share at startup: flags for logging and
// credentials, the parsing of settings, reloads, and termination by signals.
package cli
