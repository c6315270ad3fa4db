// Package soak runs real nodes against stand-ins of the platform, injects faults
// from outside them by a seeded plan, and checks what callers and targets see.
package soak
