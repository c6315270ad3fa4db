// Package route decides what happens to each request: admission, limits, fair
// queueing, placement by believed cache contents, retries, resumption and the
// verdict that the caller gets.
//
// The [Board] is a blackboard. Messages from callers, targets, peers and timers
// change it through its methods, which take the time as a value and return
// typed [Action] values for the shell to carry out. Nothing here opens a
// socket, starts a goroutine or reads a clock, so that a fuzzer can drive a
// board, or many, deterministically.
package route
