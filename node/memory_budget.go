package node

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Shares and sizes of the memory that a node holds for callers.
const (
	// callerMemoryFraction is the fraction of the VM's memory for callers' requests and answers.
	// The rest is for the routing state, the runtime and the kernel's buffers.
	callerMemoryFraction = 0.25
	// connMemoryFraction is the fraction of the VM's memory for callers' connections, if all of them
	// are in use at once.
	connMemoryFraction = 0.3
	// defaultMemory is the assumed memory of a VM whose settings state none, if the process has no
	// memory limit either.
	defaultMemory = 512 << 20
	// requestOverhead is the memory of a request besides its body and its answer: headers, stacks,
	// the state on the board and the buffers of both connections.
	requestOverhead = 48 << 10
	// idleConnMemory is the memory of a caller's connection besides that of its request: stacks and
	// buffers, which it keeps while it is idle.
	idleConnMemory = 32 << 10
	// minIdleConns is the number of idle connections that are kept in any case.
	minIdleConns = 16
	// minReadBuffer is the initial buffer for a body of unknown length. Longer bodies are reserved
	// as they arrive, since a peer may state a length and send nothing.
	minReadBuffer = 4 << 10
	// maxReadBuffer is the largest initial buffer for an answer.
	maxReadBuffer = 64 << 10
)

// An organisation may hold a multiple of the memory that is free, as in a switch whose ports share
// one buffer by dynamic thresholds (Choudhury and Hahne, 1998). A single organisation can therefore
// hold up to m/(1+m) of the budget with a multiple of m, k organisations up to m/(1+k*m) each, and
// some memory is always free for one that holds none. The multiple grows with the urgency of the
// request, so the least urgent requests are refused first.
const (
	leastUrgentMultiple = 1.0
	mostUrgentMultiple  = 4.0
)

// memoryBudget bounds the bytes that a node holds for callers.
type memoryBudget struct {
	mu    sync.Mutex
	limit int64
	held  int64
	orgs  map[string]int64
	// sole is set if there is one organisation only, for which nothing needs to stay free.
	sole bool
	// holdTime is the moving average of how long reservations are held.
	holdTime time.Duration
	// answers are moving averages of the sizes of buffered answers, by route.
	answers map[string]float64
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
}

func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit, orgs: make(map[string]int64), answers: make(map[string]float64)}
}

// memoryOf returns the memory of a VM in bytes, given what the settings state; zero means nothing.
func memoryOf(stated int64) int64 {
	if stated > 0 {
		return stated
	}
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	return defaultMemory
}

// callerMemory returns the budget for callers on a VM whose settings state this memory.
func callerMemory(stated int64) int64 { return int64(callerMemoryFraction * float64(memoryOf(stated))) }

// maxCallerConns returns the maximum number of callers' connections on a VM whose settings state
// this memory.
func maxCallerConns(stated int64) int {
	return int(connMemoryFraction * float64(memoryOf(stated)) / idleConnMemory)
}

// setLimit changes the budget. Reservations that exceed a smaller one stay valid.
func (b *memoryBudget) setLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// reserve reserves memory for a request of an organisation, or returns nil if that is not possible.
// Urgency is from 0 to 1.
func (b *memoryBudget) reserve(now time.Time, org string, urgency float64, bytes int64) *reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(org, multipleOf(urgency), bytes) {
		return nil
	}
	b.add(org, bytes)
	return &reservation{budget: b, org: org, bytes: bytes, since: now}
}

// multipleOf returns the multiple of the free memory that an organisation may hold, for a request of
// the given urgency.
func multipleOf(urgency float64) float64 {
	return leastUrgentMultiple + urgency*(mostUrgentMultiple-leastUrgentMultiple)
}

// everFits reports whether a request fits into the budget if nothing else is held.
func (b *memoryBudget) everFits(urgency float64, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayHold(bytes, multipleOf(urgency), b.limit-bytes)
}

// fits reports whether an organisation may hold more bytes, given the multiple of the free memory
// that it may hold. The caller holds the lock.
func (b *memoryBudget) fits(org string, multiple float64, bytes int64) bool {
	return b.mayHold(b.orgs[org]+bytes, multiple, b.limit-b.held-bytes)
}

// mayHold reports whether an organisation may hold a number of bytes while others are free. A sole
// organisation may hold all of the budget with its most urgent requests, and with others as much less
// as if it were one of several. The caller holds the lock.
func (b *memoryBudget) mayHold(bytes int64, multiple float64, free int64) bool {
	if !b.sole {
		return free >= 0 && float64(bytes) <= multiple*float64(free)
	}
	part := maxPart(multiple) / maxPart(mostUrgentMultiple)
	return free >= 0 && float64(bytes) <= part*float64(b.limit)
}

// maxPart returns the part of the budget that one organisation can hold at most with a multiple.
func maxPart(multiple float64) float64 { return multiple / (1 + multiple) }

// setSole sets whether there is one organisation only.
func (b *memoryBudget) setSole(sole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sole = sole
}

// answerSmoothing is the weight of a new value in the moving averages of answers' sizes.
const answerSmoothing = 0.1

// countAnswer records the size of a buffered answer.
func (b *memoryBudget) countAnswer(route string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean, known := b.answers[route]
	if !known {
		mean = float64(bytes)
	}
	b.answers[route] = mean + answerSmoothing*(float64(bytes)-mean)
}

// expectedAnswer returns the expected size of a buffered answer; zero if none is known.
func (b *memoryBudget) expectedAnswer(route string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.answers[route])
}

// add changes what an organisation holds. The caller holds the lock.
func (b *memoryBudget) add(org string, bytes int64) {
	b.held += bytes
	if b.orgs[org] += bytes; b.orgs[org] == 0 {
		delete(b.orgs, org)
	}
}

// usage returns the reserved bytes and the limit.
func (b *memoryBudget) usage() (held, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.limit
}

// idleConns returns the number of idle connections for which there is memory: they may use what
// requests do not hold.
func (b *memoryBudget) idleConns() int {
	held, limit := b.usage()
	return max(minIdleConns, int((limit-held)/idleConnMemory))
}

// largestHolder returns the organisation that holds most, and the bytes that it holds.
func (b *memoryBudget) largestHolder() (org string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, n := range b.orgs {
		if n > bytes || n == bytes && name < org {
			org, bytes = name, n
		}
	}
	return org, bytes
}

// holdSmoothing is the weight of a new value in the moving average of the hold time, and
// maxMemoryRetry the longest Retry-After of a refusal: callers that stall are cut off by then.
const (
	holdSmoothing  = 0.1
	maxMemoryRetry = callerStallTime
)

// refused records a refusal. It returns when the caller may retry, which is when most of the
// present reservations have ended, and whether this is the first refusal for some time.
func (b *memoryBudget) refused(now time.Time) (retryAfter time.Duration, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first = now.Sub(b.refusedAt) > memoryQuietTime
	b.refusedAt = now
	return min(maxMemoryRetry, max(minRetryAfter, b.holdTime)), first
}

// memoryQuietTime is the time without refusals after which the next one is logged again.
const memoryQuietTime = 5 * time.Second

// reservation is the memory held for one request. A nil reservation holds nothing and takes
// nothing.
type reservation struct {
	budget *memoryBudget
	org    string
	since  time.Time
	// bytes is what is reserved. unused is the part of it that was reserved for the answer and is
	// not used yet. Both are guarded by the budget's lock.
	bytes, unused int64
}

// grow reserves more memory for a request that was admitted. It counts as most urgent, since
// abandoning a request wastes what was done for it.
func (r *reservation) grow(bytes int64) bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	used := min(r.unused, bytes)
	if bytes -= used; bytes > 0 && !r.budget.fits(r.org, mostUrgentMultiple, bytes) {
		return false
	}
	r.unused -= used
	r.bytes += bytes
	r.budget.add(r.org, bytes)
	return true
}

// shrink gives a part of the memory back.
func (r *reservation) shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	bytes = min(bytes, r.bytes-r.unused)
	r.bytes -= bytes
	r.budget.add(r.org, -bytes)
}

// release gives all memory back.
func (r *reservation) release(now time.Time) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.add(r.org, -r.bytes)
	r.bytes, r.unused = 0, 0
	r.budget.holdTime += time.Duration(holdSmoothing * float64(now.Sub(r.since)-r.budget.holdTime))
}

var errNoMemory = errs.Tag("the node's memory for callers is in use")

// read reads a body of at most limit bytes to its end, and reserves the memory of its buffer. The
// first reserved bytes of the buffer are reserved already. If there is no memory left, it returns
// what was read with the error, else an error gives the memory back.
func (r *reservation) read(body io.Reader, reserved, limit int64) ([]byte, error) {
	if reserved <= 0 {
		if reserved = min(minReadBuffer, limit+1); !r.grow(reserved) {
			return nil, errNoMemory.Errorf("%d bytes", reserved)
		}
	}
	buf, err := r.readInto(make([]byte, 0, reserved), body, limit)
	if err != nil && !errors.Is(err, errNoMemory) {
		r.shrink(int64(cap(buf)))
		return nil, err
	}
	return buf, err
}

// readInto reads a body into a buffer whose memory is reserved. It returns the buffer in any case.
func (r *reservation) readInto(buf []byte, body io.Reader, limit int64) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			size := min(2*int64(cap(buf)), limit+1)
			if int64(len(buf)) > limit {
				return buf, errTooLarge.Errorf("at most %d bytes are taken", limit)
			}
			if !r.grow(size) {
				return buf, errNoMemory.Errorf("%d bytes", size)
			}
			grown := append(make([]byte, 0, size), buf...)
			r.shrink(int64(cap(buf)))
			buf = grown
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			if int64(len(buf)) > limit {
				return buf, errTooLarge.Errorf("at most %d bytes are taken", limit)
			}
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}

// reserveMemory reserves memory for the request, its body and its expected answer before the body
// is read, or refuses the request. A body of unknown length is reserved as it arrives.
func (n *Node) reserveMemory(v *callerRequest) bool {
	if !n.checkLength(v) {
		return false
	}
	answer, urgency := n.memory.expectedAnswer(v.route.Name), n.urgency(v)
	size := requestOverhead + v.bodyReserve() + answer
	v.memory = n.memory.reserve(n.now(), v.orgName(), urgency, size)
	if v.memory == nil {
		n.refuseMemory(v, n.memory.everFits(urgency, size))
		return false
	}
	v.memory.unused = answer
	return true
}

// bodyReserve returns the size of the buffer for the body, zero if its length is unknown. One byte
// more than the body shows the end of the body without growing the buffer.
func (v *callerRequest) bodyReserve() int64 {
	if v.r.ContentLength <= 0 {
		return 0
	}
	return v.r.ContentLength + 1
}

// discardTimeout is how long a refusal may wait for the rest of a body that is still being sent. A
// connection whose body arrived can be used again.
const discardTimeout = time.Second

// refuseMemory refuses a request for want of memory. It states a time to retry after if the request
// fits once others have ended.
func (n *Node) refuseMemory(v *callerRequest, fits bool) {
	retryAfter, first := n.memory.refused(n.now())
	if !fits {
		retryAfter = 0
	}
	held, limit := n.memory.usage()
	n.counters.memoryRefusals.Inc()
	if first {
		org, most := n.memory.largestHolder()
		n.events.Record(event.Event{
			Code: event.MemoryExhausted, Org: org,
			Detail: fmt.Sprintf("%d of %d bytes are held for callers, %d of them for this organisation", held, limit, most),
		})
	}
	// The server discards the rest of the body before it answers. If the deadline cannot be set, the
	// connection is closed already.
	_ = http.NewResponseController(v.w).SetReadDeadline(time.Now().Add(discardTimeout))
	n.refuse(v, route.Refusal{
		Cause: route.CauseMemory, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("%d of %d bytes for callers are in use", held, limit),
	})
}

// urgency returns the request's rank among the priorities of the configuration, from 0 for the
// least to 1 for the most urgent.
func (n *Node) urgency(v *callerRequest) float64 {
	c := n.callerClassesOf(v.snap)
	if c.least == c.most || n.disabled.Has(route.Urgency) {
		return 1
	}
	return float64(v.priority()-c.least) / float64(c.most-c.least)
}

// callerClasses is what the memory budget needs of a configuration.
type callerClasses struct {
	snap        *policy.Snapshot
	least, most int
}

// callerClassesOf returns the classes of a snapshot. It computes them once for each.
func (n *Node) callerClassesOf(snap *policy.Snapshot) *callerClasses {
	if c := n.classes.Load(); c != nil && c.snap == snap {
		return c
	}
	c := &callerClasses{snap: snap}
	c.least, c.most = priorityRange(snap.Config)
	n.classes.Store(c)
	n.memory.setSole(soleOrganisation(snap))
	return c
}

// soleOrganisation reports whether all requests belong to one organisation, or to none.
func soleOrganisation(snap *policy.Snapshot) bool {
	keyed, open := false, false
	for i := range snap.Config.Routes {
		needsKey := snap.NeedsKey(&snap.Config.Routes[i])
		keyed, open = keyed || needsKey, open || !needsKey
	}
	return !keyed || len(snap.Config.Organisations) <= 1 && !open
}

// priorityRange returns the least and the greatest priority of a configuration's requests.
func priorityRange(c *policy.Config) (least, most int) {
	least, most = math.MaxInt, math.MinInt
	for i := range c.Routes {
		least, most = min(least, c.Routes[i].Priority), max(most, c.Routes[i].Priority)
	}
	for i := range c.Organisations {
		if p := c.Organisations[i].Priority; p != nil {
			least, most = min(least, *p), max(most, *p)
		}
	}
	return least, most
}

// priority returns the priority of the request.
func (v *callerRequest) priority() int {
	if v.org != nil && v.org.Priority != nil {
		return *v.org.Priority
	}
	return v.route.Priority
}

// orgName returns the name of the request's organisation, empty on routes that need no key.
func (v *callerRequest) orgName() string {
	if v.org == nil {
		return ""
	}
	return v.org.Name
}
