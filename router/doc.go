// Package router is the router process: it connects the decisions of packages
// route and fleet to callers, targets, peers, operators and the platform.
//
// A request goes through the files in this order: callers.go checks it,
// call.go carries it through the board's actions, engine.go or service.go sends
// it to a target, and answer.go writes the answer. poll.go, config.go and
// peers.go keep the board informed.
package router
