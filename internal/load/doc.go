// Package load generates seeded workloads, sends them to pathhead's routers and
// reports what the callers observed. The load is open-loop: requests are sent
// when they are due, whether or not earlier ones have been answered, and their
// times count from then.
package load
