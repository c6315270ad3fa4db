package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathhead/pathhead/route"
)

// silenceTimer gives up an attempt whose target says nothing for too long. Before the answer begins
// it waits at least as long as predicted, since an engine that was expected to be busy would
// otherwise compute the prompt in vain, and another one would compute it again. A target that is
// known not to respond is not waited for.
type silenceTimer struct {
	begun     atomic.Bool
	until     time.Time
	now       func() time.Time
	suspected func() bool
	// mayGiveUp reports whether the request can go elsewhere.
	mayGiveUp func() bool
	giveUp    func()

	mu    sync.Mutex
	timer *time.Timer
	// due is when the timer expires; zero while it is stopped. Each Stop and Reset begins another
	// generation, in which what was decided in an earlier one no longer counts.
	due        time.Time
	generation int
}

// newSilenceTimer returns a stopped timer. If it expires before the given time, it is extended,
// unless the answer has begun or the target is suspected.
func newSilenceTimer(until time.Time, now func() time.Time, suspected, mayGiveUp func() bool, giveUp func()) *silenceTimer {
	s := &silenceTimer{until: until, now: now, suspected: suspected, mayGiveUp: mayGiveUp, giveUp: giveUp}
	s.timer = time.AfterFunc(time.Hour, s.expired)
	s.timer.Stop()
	return s
}

// Stop stops the timer. The attempt is not given up after Stop returned.
func (s *silenceTimer) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.due = time.Time{}
	s.timer.Stop()
}

// Reset lets the timer expire after d.
func (s *silenceTimer) Reset(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arm(d)
}

func (s *silenceTimer) arm(d time.Duration) {
	s.generation++
	s.due = time.Now().Add(d)
	s.timer.Reset(d)
}

// expired gives up the attempt or extends the wait. The target may answer while this asks whether
// it is suspected, which can take long.
func (s *silenceTimer) expired() {
	generation, ok := s.expiredGeneration()
	if !ok {
		return
	}
	left := s.until.Sub(s.now())
	overdue := left <= 0 || s.begun.Load() || s.suspected()
	lost := overdue && s.mayGiveUp()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.generation != generation:
	case lost:
		s.giveUp()
	case overdue:
		s.arm(suspicionInterval)
	default:
		s.arm(min(left, suspicionInterval))
	}
}

// expiredGeneration returns the present generation, and false if its timer has not expired.
func (s *silenceTimer) expiredGeneration() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation, !s.due.IsZero() && !time.Now().Before(s.due)
}

// suspicionInterval is how often an extended wait is compared with what is known of the target.
const suspicionInterval = 100 * time.Millisecond

// patienceFactor is the multiple of the predicted time to first token for which a target may say
// nothing: a prompt is delayed by those that arrive after it, as long as they are more urgent.
const patienceFactor = 1.5

// patience returns how long the target of an attempt may take to begin the answer.
func (f *forwarding) patience(a route.Attempt, now time.Time) time.Duration {
	if f.n.disabled.Has(route.PredictedPatience) {
		return 0
	}
	return min(fraction(a.FirstToken, patienceFactor), f.req.Deadline.Sub(now))
}

// mayGiveUp reports whether an attempt whose target is silent is to be given up.
func (n *Node) mayGiveUp(a route.Attempt) bool {
	n.Lock()
	defer n.Unlock()
	return n.Board().GiveUp(n.now(), a.Request, a.ID)
}

// suspected reports whether a target is known not to respond.
func (n *Node) suspected(a route.Attempt) bool {
	n.Lock()
	defer n.Unlock()
	return n.Board().Suspected(a.Target)
}
