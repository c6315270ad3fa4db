package router

import (
	"sync"

	"github.com/pathhead/pathhead/fleet"
)

// keyedCalls notes which keyed calls are in flight at this router, so that the
// second of two does not race the first for its claim.
type keyedCalls struct {
	mu     sync.Mutex
	counts map[fleet.CallKey]int
}

// begin notes a call and reports whether it is the only one with its key; leave ends it.
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
