package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch is an engine's scheduler. At most slots requests run at once, one of them
// prefills at a time, and waiting requests get slots by priority, then by arrival.
type batch struct {
	slots   int
	prefill chan struct{}

	mu      sync.Mutex
	running int
	seq     int
	waiting waitHeap
}

// waiter is a request that waits for a slot; ready is closed when it gets one.
type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
	index    int // position in the heap, -1 once removed
}

// waitHeap implements [heap.Interface]; the first element is the next to get a slot.
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

// acquire waits for a slot. It fails only if the context is done first.
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
	// The slot was assigned while the context was cancelled.
	b.releaseLocked()
	return ctx.Err()
}

// release assigns the slot to the first waiter, or frees it if nothing waits.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

// releaseLocked is release with b.mu held.
func (b *batch) releaseLocked() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).ready)
}

// load returns the numbers of running and waiting requests.
func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// sleep waits for d. It returns false if the context is done first.
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
