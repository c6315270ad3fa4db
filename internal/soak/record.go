package soak

import (
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// Scope is what a trouble hits.
type Scope string

// The scopes of troubles. No node is in touch for a while after one of the store,
// nor after one of a link that all nodes use.
const (
	ScopeNode   Scope = "node"
	ScopeLink   Scope = "link"
	ScopeStore  Scope = "store"
	ScopeTarget Scope = "target"
	ScopeOrders Scope = "orders"
	// ScopePlanned is a change that is no trouble.
	ScopePlanned Scope = "plan"
)

// InjectedFault is a fault as it was injected.
type InjectedFault struct {
	Scope Scope
	Kind  Kind
	// Subject is the node or target, empty for all.
	Subject string
	Detail  string
	From    time.Time
	// Until is zero while it holds.
	Until time.Time
}

// end returns when the trouble ended, or now while it holds.
func (t InjectedFault) end(now time.Time) time.Time {
	if t.Until.IsZero() {
		return now
	}
	return t.Until
}

// Attempt is one request of a caller, and what came of it.
type Attempt struct {
	ID string
	// Call is shared by the attempts of one call.
	Call string
	Kind CallKind
	Path string
	Key  string
	// Parts and Body are the prompt and the body that were sent.
	Parts string
	Body  string
	// Node and Boot name the process that took it, empty if no connection was got;
	// Kept says that the connection had been used before.
	Node string
	Boot int
	Kept bool
	Sent time.Time
	// Done is zero while the answer is awaited.
	Done   time.Time
	Status int
	Seal   string
	AnswerID,
	Answer string
	// Err says why the answer is not whole; Left that the caller gave it up.
	Err  string
	Left bool
	// Deadly says that engines end which begin to run it.
	Deadly bool `json:",omitempty"`
}

// CallKind is a kind of call.
type CallKind string

// The kinds of calls. A stream and a once-only call may run once.
const (
	StreamCall CallKind = "stream"
	ResumeCall CallKind = "resume"
	OnceCall   CallKind = "once"
	SafeCall   CallKind = "safe"
)

// atMostOnce reports whether calls of the kind may run only once.
func (k CallKind) atMostOnce() bool { return k == StreamCall || k == OnceCall }

// streams reports whether calls of the kind are answered by a stream.
func (k CallKind) streams() bool { return k == StreamCall || k == ResumeCall }

// ConfigWrite is a configuration that the operator wrote, and when it was acknowledged.
type ConfigWrite struct {
	Config platformtest.Config
	Sent   time.Time
	Acked  time.Time
}

// WeightsAnnouncement is a naming of weights.
type WeightsAnnouncement struct {
	Weights int64
	Acked   time.Time
}

// Target is the life of a target.
type Target struct {
	ID      string
	Service string
	Started time.Time
	// Leaving is when it said that it leaves, or was taken off the list; Ended when it ended.
	DrainingSince time.Time
	Ended         time.Time
	// Weights are those that it has now.
	Weights int64
}

// Record is all that a soak saw.
type Record struct {
	Bounds   Bounds
	Start    time.Time
	Attempts []Attempt
	Runs     []platformtest.Run
	Orders   []platformtest.ReceivedOrder
	// Arrivals are the requests that came to targets, in their order.
	Arrivals  []platformtest.Arrival
	Configs   []ConfigWrite
	Announced []WeightsAnnouncement
	Targets   []Target
	Faults    []InjectedFault
	// Ends are processes that ended by themselves.
	Exits []InjectedFault
	// Calm is when the last trouble had ended, zero before.
	FaultsEnded time.Time
	// Over says that no more requests come.
	Finished bool
	// Now is when the record was taken.
	Now time.Time
}

// Bounds are the promises' bounds: those that nodes are told, and those that only checks use.
type Bounds struct {
	platformtest.Bounds
	// AllWeights is within how much sound time all targets get the newest weights.
	AllWeights time.Duration
	// Back is how long after its effect was seen a process may still answer by an
	// older configuration.
	StaleConfig time.Duration
	// Thaw is how long after a pause or cut orders don't count.
	OrderGrace time.Duration
	// Loss is how long a request may cross the close of its connection.
	CloseRace time.Duration
	// Recovery is within how much time after the last trouble calls are served again.
	Recovery time.Duration
	// Answer is how long after a route's time an answer may come.
	AnswerSlack time.Duration
}

// DefaultBounds are those of the users' installations.
var DefaultBounds = Bounds{
	Bounds: platformtest.Bounds{
		Drain: 2 * time.Second, Grace: 8 * time.Second, Apply: 2 * time.Second, Revoke: 5 * time.Second,
		Lease: 3 * time.Second, Weights: 10 * time.Second, Contact: 3 * time.Second,
		RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 52,
	},
	AllWeights: 14 * time.Second, StaleConfig: 250 * time.Millisecond,
	OrderGrace: 300 * time.Millisecond, CloseRace: 200 * time.Millisecond, Recovery: 12 * time.Second,
	AnswerSlack: 500 * time.Millisecond,
}

// recorder takes a record while the soak runs.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

// update changes the record.
func (b *recorder) update(change func(r *Record)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.rec)
}

// beginFault notes a trouble that holds until the function that is returned is called.
func (b *recorder) beginFault(t InjectedFault) (end func()) {
	t.From = time.Now()
	index := 0
	b.update(func(r *Record) {
		index = len(r.Faults)
		r.Faults = append(r.Faults, t)
	})
	return func() {
		b.update(func(r *Record) { r.Faults[index].Until = time.Now() })
	}
}

// recordFault notes what happens at one moment.
func (b *recorder) recordFault(t InjectedFault) { b.beginFault(t)() }
