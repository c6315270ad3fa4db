// Package fleet is what pathhead's processes share and agree on: the accepted
// configuration, leases with fencing numbers, claims of calls that run at most
// once, orders to targets, and the view of peers.
//
// State machines here are pure: time comes in as a value read from a monotonic
// clock, and I/O leaves as a typed action or goes through the narrow [Table] and
// [Objects] interfaces. What has to be agreed is agreed by a conditional write
// in the platform's table; there is no consensus among the processes.
package fleet
