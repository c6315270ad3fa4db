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
	OfNode   Scope = "node"
	OfLink   Scope = "link"
	OfStore  Scope = "store"
	OfTarget Scope = "target"
	OfOrders Scope = "orders"
	// OfPlan is a change that is no trouble.
	OfPlan Scope = "plan"
)

// Trouble is a fault as it was injected.
type Trouble struct {
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
func (t Trouble) end(now time.Time) time.Time {
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

// once reports whether calls of the kind may run only once.
func (k CallKind) once() bool { return k == StreamCall || k == OnceCall }

// streams reports whether calls of the kind are answered by a stream.
func (k CallKind) streams() bool { return k == StreamCall || k == ResumeCall }

// Declared is a configuration that the operator wrote, and when it was acknowledged.
type Declared struct {
	Config platformtest.Config
	Sent   time.Time
	Acked  time.Time
}

// Named is a naming of weights.
type Named struct {
	Weights int64
	Acked   time.Time
}

// Target is the life of a target.
type Target struct {
	ID      string
	Service string
	Begun   time.Time
	// Leaving is when it said that it leaves, or was taken off the list; Ended when it ended.
	Leaving time.Time
	Ended   time.Time
	// Weights are those that it has now.
	Weights int64
}

// Record is all that a soak saw.
type Record struct {
	Bounds   Bounds
	Begun    time.Time
	Attempts []Attempt
	Runs     []platformtest.Run
	Orders   []platformtest.ReceivedOrder
	// Arrivals are the requests that came to targets, in their order.
	Arrivals []platformtest.Arrival
	Configs  []Declared
	Named    []Named
	Targets  []Target
	Troubles []Trouble
	// Ends are processes that ended by themselves.
	Ends []Trouble
	// Calm is when the last trouble had ended, zero before.
	Calm time.Time
	// Over says that no more requests come.
	Over bool
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
	Back time.Duration
	// Thaw is how long after a pause or cut orders don't count.
	Thaw time.Duration
	// Loss is how long a request may cross the close of its connection.
	Loss time.Duration
	// Recovery is within how much time after the last trouble calls are served again.
	Recovery time.Duration
	// Answer is how long after a route's time an answer may come.
	Answer time.Duration
}

// DefaultBounds are those of the users' installations.
var DefaultBounds = Bounds{
	Bounds: platformtest.Bounds{
		Drain: 2 * time.Second, Grace: 8 * time.Second, Apply: 2 * time.Second, Revoke: 5 * time.Second,
		Lease: 3 * time.Second, Weights: 10 * time.Second, Contact: 3 * time.Second,
		RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 52,
	},
	AllWeights: 14 * time.Second, Back: 250 * time.Millisecond,
	Thaw: 300 * time.Millisecond, Loss: 200 * time.Millisecond, Recovery: 12 * time.Second,
	Answer: 500 * time.Millisecond,
}

// book takes a record while the soak runs.
type book struct {
	mu  sync.Mutex
	rec Record
}

// write changes the record.
func (b *book) write(change func(r *Record)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.rec)
}

// begin notes a trouble that holds until the function that is returned is called.
func (b *book) begin(t Trouble) (end func()) {
	t.From = time.Now()
	place := 0
	b.write(func(r *Record) {
		place = len(r.Troubles)
		r.Troubles = append(r.Troubles, t)
	})
	return func() {
		b.write(func(r *Record) { r.Troubles[place].Until = time.Now() })
	}
}

// note notes what happens at one moment.
func (b *book) note(t Trouble) { b.begin(t)() }
