package router

import (
	"sync"

	"github.com/pathhead/pathhead/fleet"
)

// joins notes which keyed calls are in flight at this router, so that the
// second of two does not race the first for its claim.
type joins struct {
	mu sync.Mutex
	in map[fleet.CallKey]int
}

// enter notes a call and reports whether it is the only one with its key; leave ends it.
func (j *joins) enter(k fleet.CallKey) (leave func(), first bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.in == nil {
		j.in = make(map[fleet.CallKey]int)
	}
	j.in[k]++
	return func() { j.leave(k) }, j.in[k] == 1
}

func (j *joins) leave(k fleet.CallKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.in[k]--
	if j.in[k] == 0 {
		delete(j.in, k)
	}
}
