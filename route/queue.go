package route

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// fairQueue divides a pool's capacity between organisations by start-time fair queueing. The
// requests of each organisation are taken in the order of a virtual time that advances by cost
// divided by weight.
type fairQueue struct {
	orgs  map[string]*orgQueue
	vtime float64
	cost  float64
	n     int
	seq   int64
	// urgentFirst is set while requests are admitted by joint shares, which already divide the
	// capacity between organisations. The most urgent ones then go first whosever they are.
	urgentFirst bool
}

// orgQueue holds the queued requests of one organisation.
type orgQueue struct {
	name   string
	weight float64
	finish float64
	cost   float64
	items  requestHeap
}

// start returns the virtual start time of the organisation's next request.
func (o *orgQueue) start(vtime float64) float64 { return max(vtime, o.finish) }

func newFairQueue() *fairQueue {
	return &fairQueue{orgs: make(map[string]*orgQueue)}
}

func (q *fairQueue) org(name string) *orgQueue {
	o, ok := q.orgs[name]
	if !ok {
		o = &orgQueue{name: name, weight: 1}
		q.orgs[name] = o
	}
	return o
}

// push adds a request to its organisation's queue.
func (q *fairQueue) push(r *request, weight float64) {
	o := q.org(r.Org)
	o.weight = weight
	q.seq++
	if r.seq == 0 {
		r.seq = q.seq
	}
	heap.Push(&o.items, r)
	o.cost += r.cost
	q.cost += r.cost
	q.n++
}

// remove removes a request from the queue.
func (q *fairQueue) remove(r *request) {
	o := q.orgs[r.Org]
	heap.Remove(&o.items, r.index)
	o.cost -= r.cost
	q.cost -= r.cost
	q.n--
	if o.items.Len() == 0 && o.finish <= q.vtime {
		delete(q.orgs, o.name)
	}
}

// charge advances the virtual time for a request that is being sent. A retry is not charged
// again.
func (q *fairQueue) charge(r *request, weight float64) {
	if r.charged {
		return
	}
	r.charged = true
	o := q.org(r.Org)
	start := o.start(q.vtime)
	q.vtime = max(q.vtime, start)
	o.finish = start + r.cost/weight
}

// next returns the organisations with queued requests in order of virtual start time, those with
// the most urgent requests first if urgentFirst is set.
func (q *fairQueue) next() []*orgQueue {
	var out []*orgQueue
	for _, o := range q.orgs {
		if o.items.Len() == 0 {
			continue
		}
		i := len(out)
		out = append(out, o)
		for ; i > 0 && q.before(o, out[i-1]); i-- {
			out[i] = out[i-1]
		}
		out[i] = o
	}
	return out
}

func (q *fairQueue) before(a, b *orgQueue) bool {
	if ra, rb := a.items[0], b.items[0]; q.urgentFirst && ra.rank() != rb.rank() {
		return ra.rank() > rb.rank()
	}
	sa, sb := a.start(q.vtime), b.start(q.vtime)
	if sa != sb {
		return sa < sb
	}
	return a.name < b.name
}

// heads returns the requests that are tried for a target with capacity, in order. If urgentFirst is
// set, each priority leaves a part of the tries to those below it.
func (q *fairQueue) heads(now time.Time) []*request {
	var out []*request
	for _, o := range q.next() {
		for _, r := range o.heads(q.urgentFirst) {
			if !now.Before(r.notBefore) {
				out = append(out, r)
			}
		}
	}
	if !q.urgentFirst {
		return out[:min(len(out), maxScan)]
	}
	tries := triesOf(out)
	return slices.DeleteFunc(out, func(r *request) bool {
		tries[r.Priority]--
		return tries[r.Priority] < 0
	})
}

// triesOf divides maxScan tries between the priorities of requests.
func triesOf(requests []*request) map[int]int {
	waiting := make(map[int]int)
	for _, r := range requests {
		waiting[r.Priority]++
	}
	priorities := slices.Sorted(maps.Keys(waiting))
	tries, left := make(map[int]int), maxScan
	for i, priority := range slices.Backward(priorities) {
		n := left
		if i > 0 {
			n = int(scanFraction * float64(left))
		}
		tries[priority] = min(n, waiting[priority])
		left -= tries[priority]
	}
	return tries
}

// heads returns the first requests of the organisation, with one of a lower priority if there is one
// and lessUrgent is set.
func (o *orgQueue) heads(lessUrgent bool) []*request {
	heads := o.items[:min(headsPerOrg, len(o.items))]
	if !lessUrgent || len(o.items) == len(heads) {
		return heads
	}
	next := -1
	for i, r := range o.items {
		if r.Priority < o.items[0].Priority && (next < 0 || o.items.Less(i, next)) {
			next = i
		}
	}
	if next < len(heads) {
		return heads
	}
	return append(slices.Clone(heads), o.items[next])
}

// share returns the fraction of the pool that an organisation receives while the present ones
// have queued requests.
func (q *fairQueue) share(org string, weight float64) float64 {
	sum := weight
	for name, o := range q.orgs {
		if name != org && o.items.Len() > 0 {
			sum += o.weight
		}
	}
	return weight / sum
}

// wait estimates how long a new request of the organisation waits, given the pool's throughput
// in cost per second.
func (q *fairQueue) wait(org string, weight, rate float64) time.Duration {
	o, ok := q.orgs[org]
	if !ok || rate <= 0 || o.items.Len() == 0 {
		return 0
	}
	return time.Duration(o.waiting() / (rate * q.share(org, weight)) * float64(time.Second))
}

// waiting returns the cost of the requests that wait for capacity.
func (o *orgQueue) waiting() float64 {
	cost := o.cost
	for _, r := range o.items {
		if r.awaitingFill {
			cost -= r.cost
		}
	}
	return cost
}

// rank orders requests by priority, and those of one priority by whether their answer has begun or they are urgent.
func (r *request) rank() int {
	switch rank := 3 * r.Priority; {
	case r.continues():
		return rank + 2
	case r.urgent:
		return rank + 1
	default:
		return rank
	}
}

// requestHeap orders the requests of an organisation by rank, then by arrival.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	if h[i].rank() != h[j].rank() {
		return h[i].rank() > h[j].rank()
	}
	return h[i].seq < h[j].seq
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}
