package soak

import (
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// Scope is the part of the cluster that a fault affects.
type Scope string

// The scopes of faults. After a fault of the store, or of a link that all nodes use, no node
// counts as in contact for some time.
const (
	ScopeNode   Scope = "node"
	ScopeLink   Scope = "link"
	ScopeStore  Scope = "store"
	ScopeTarget Scope = "target"
	ScopeOrders Scope = "orders"
	// ScopePlanned is the scope of a planned change, which is not a fault.
	ScopePlanned Scope = "plan"
)

// InjectedFault is a fault or planned change, with the time for which it lasted.
type InjectedFault struct {
	Scope Scope
	Kind  Kind
	// Subject is the node or target affected, empty for all.
	Subject string
	Detail  string
	From    time.Time
	// Until is zero while the fault lasts.
	Until time.Time
}

// end returns the time at which the fault ended, or now while it lasts.
func (t InjectedFault) end(now time.Time) time.Time {
	if t.Until.IsZero() {
		return now
	}
	return t.Until
}

// Attempt is one request of a caller with its result.
type Attempt struct {
	ID string
	// Call is the id of the call. All attempts of the call share it.
	Call string
	Kind CallKind
	Path string
	Key  string
	// Parts and Body are the prompt parts and the body that the caller sent.
	Parts string
	Body  string
	// Resumes is the id of the attempt that brought the stream's first event, LastEvent the last event
	// that the caller has, if the attempt takes a stream up.
	Resumes   string `json:",omitempty"`
	LastEvent int    `json:",omitempty"`
	// Node and Boot name the process that accepted the connection, and are empty if there was
	// none. Kept reports that an earlier request had used the connection.
	Node string
	Boot int
	Kept bool
	Sent time.Time
	// Done is the time at which the attempt ended, zero while the caller waits.
	Done   time.Time
	Status int
	Seal   string
	AnswerID,
	Answer string
	// Err is the reason why the answer is incomplete. Left reports that the caller cancelled
	// the attempt or that its deadline passed.
	Err  string
	Left bool
	// Deadly reports that the request crashes engines that begin to run it.
	Deadly bool `json:",omitempty"`
}

// CallKind is the kind of a call: how it is answered and whether it may be repeated.
type CallKind string

// The kinds of calls. StreamCall and OnceCall may run at most once.
const (
	StreamCall CallKind = "stream"
	ResumeCall CallKind = "resume"
	OnceCall   CallKind = "once"
	SafeCall   CallKind = "safe"
)

// atMostOnce reports whether calls of the kind may run at most once.
func (k CallKind) atMostOnce() bool { return k == StreamCall || k == OnceCall }

// streams reports whether the answer to calls of the kind is a stream.
func (k CallKind) streams() bool { return k == StreamCall || k == ResumeCall }

// ConfigWrite is a configuration that the operator wrote, with the times of the write and of
// its acknowledgement.
type ConfigWrite struct {
	Config platformtest.Config
	Sent   time.Time
	Acked  time.Time
}

// WeightsAnnouncement is the announcement of new weights and the time of its acknowledgement.
type WeightsAnnouncement struct {
	Weights int64
	Acked   time.Time
}

// Target describes a target and the times at which its state changed.
type Target struct {
	ID      string
	Service string
	Started time.Time
	// DrainingSince is the time at which the target began to drain or was removed from the
	// list, Ended the time at which it ended.
	DrainingSince time.Time
	Ended         time.Time
	// Weights are the current weights of the target.
	Weights int64
}

// Record holds everything that was observed during the run of a plan.
type Record struct {
	Bounds   Bounds
	Start    time.Time
	Attempts []Attempt
	Runs     []platformtest.Run
	Orders   []platformtest.ReceivedOrder
	// Arrivals are the requests that reached targets, in order of arrival.
	Arrivals  []platformtest.Arrival
	Configs   []ConfigWrite
	Announced []WeightsAnnouncement
	Targets   []Target
	Faults    []InjectedFault
	// Exits are unexpected exits of processes, and errors of the soak test itself.
	Exits []InjectedFault
	// FaultsEnded is the time at which all steps had ended, zero before.
	FaultsEnded time.Time
	// Finished reports that no more requests are sent.
	Finished bool
	// Now is the time at which the record was taken.
	Now time.Time
}

// Bounds holds the time bounds of the guarantees: those in the settings of nodes, and those
// that only the checks use.
type Bounds struct {
	platformtest.Bounds
	// AllWeights is the undisturbed time within which all engines load the newest weights.
	AllWeights time.Duration
	// StaleConfig is the time for which a process may still use an older configuration after
	// the effect of a newer one was observed.
	StaleConfig time.Duration
	// OrderGrace is the time after a pause or a link fault during which orders are not checked.
	OrderGrace time.Duration
	// CloseRace is the time for which a request may be under way on a connection that the
	// other side closes.
	CloseRace time.Duration
	// Recovery is the time after the last fault within which requests succeed again.
	Recovery time.Duration
	// AnswerSlack is the time by which an answer may exceed its route's timeout.
	AnswerSlack time.Duration
}

// DefaultBounds are the bounds of production installations.
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

// recorder collects a record while a plan runs.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

// update calls change with the record, under the lock.
func (b *recorder) update(change func(r *Record)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.rec)
}

// beginFault records a fault that lasts until the returned function is called.
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

// recordFault records an instantaneous fault or change.
func (b *recorder) recordFault(t InjectedFault) { b.beginFault(t)() }
