// Package soak runs real node processes against stand-ins of the platform, injects faults
// into their environment by a seeded plan, and checks what callers and targets observe.
package soak
