// Package dispatch drives a route.Board: it holds the board's lock, lets time
// pass on it, and carries each caller's request through the board's actions.
package dispatch
