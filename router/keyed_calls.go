package router

import (
	"sync"

	"github.com/pathhead/pathhead/fleet"
)

// keyedCalls counts the calls in flight at this router by idempotency key, so
// that a concurrent duplicate does not compete with the first call for its claim.
type keyedCalls struct {
	mu     sync.Mutex
	counts map[fleet.CallKey]int
}

// begin registers a call and reports whether it is the only one in flight with
// its key. The call ends when the returned function is called.
func (j *keyedCalls) begin(k fleet.CallKey) (end func(), first bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.counts == nil {
		j.counts = make(map[fleet.CallKey]int)
	}
	j.counts[k]++
	return func() { j.end(k) }, j.counts[k] == 1
}

func (j *keyedCalls) end(k fleet.CallKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[k]--
	if j.counts[k] == 0 {
		delete(j.counts, k)
	}
}
