// Package router implements the router process: it connects the decisions of
// packages route and fleet to callers, targets, peers, operators and the platform.
//
// A request passes through these files: callers.go validates it, engine.go (a
// completion) or service.go (a call of a plain service) sends it to a target
// and writes the answer, and package dispatch executes the board's actions in
// between. poll.go, config.go and peers.go update the board.
//
// The process has three listeners, which the settings call doors: one for
// callers, one for operators and one for peers.
package router
