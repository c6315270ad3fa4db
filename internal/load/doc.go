// Package load plays seeded workloads against pathhead's doors and reports what
// callers saw. Arrivals are open-loop: a slow answer does not hold the next
// request back, and waits count from when a request was due.
package load
