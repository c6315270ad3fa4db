// Package ctl is what the operators' program pathheadctl does: it applies and
// shows configurations in the platform's table, and asks the operators' doors of
// running processes for their status and events.
package ctl
