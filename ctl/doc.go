// Package ctl implements the commands of pathheadctl, the operators' tool. It
// applies and shows configurations in the platform's table, and queries running
// processes for their status and events.
//
// Processes are queried at their operators' listener, the address of which the
// flags and the status call a door.
package ctl
