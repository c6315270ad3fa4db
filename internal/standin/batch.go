package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch is an engine's scheduler: a limited number of requests run at once, one
// prefills at a time, and waiting requests are taken by priority, then arrival.
type batch struct {
	slots   int
	prefill chan struct{}

	mu      sync.Mutex
	running int
	seq     int
	waiting waitHeap
}

type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
	index    int
}

type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

func newBatch(slots int) *batch {
	return &batch{slots: slots, prefill: make(chan struct{}, 1)}
}

// acquire waits for a slot; it fails only if the context ends first.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return ctx.Err()
	}
	b.releaseLocked()
	return ctx.Err()
}

// release gives the slot to the first waiter or frees it.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

func (b *batch) releaseLocked() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).ready)
}

// load returns the requests that run and wait.
func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// sleep waits for d and reports whether it was not cut short by the context.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
