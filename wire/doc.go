// Package wire adapts pathhead to what is outside the process: callers,
// targets, peers, operators and the platform's services.
//
// Adapters turn messages into values of the decision packages and back. They
// check and bound everything they read and hold no policy.
package wire
