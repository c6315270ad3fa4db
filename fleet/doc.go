// Package fleet implements the state that pathhead's processes share: the accepted configuration,
// leases with fencing tokens, claims of at-most-once calls, orders to targets, and the view of
// peers.
//
// The state machines here are pure: time is passed in as a value read from a monotonic clock, and
// I/O is returned as a typed action or goes through the narrow [Table] and [Objects] interfaces.
// Agreement comes from conditional writes in the platform's table; the processes run no consensus
// protocol among themselves.
package fleet
