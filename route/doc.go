// Package route decides what happens to each request: admission, limits, fair queueing,
// placement by assumed cache contents, retries, resumption and the verdict on whether a failed
// request ran.
//
// The [Board] is a deterministic state machine. Its methods process events from callers,
// targets, peers and timers. They take the current time as an argument and return [Action]
// values for the caller to execute. The package opens no sockets, starts no goroutines and
// reads no clock, so a fuzz test can run one board, or many, deterministically.
package route
