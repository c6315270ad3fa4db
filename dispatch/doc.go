// Package dispatch drives a route.Board: it guards the board with a lock, advances its time, and
// carries out its actions for each caller's request.
package dispatch
