package route

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// What processes tell each other of targets that ended under requests, and what operators see.

// CrashKey names a fact about a request and a target. With both it is that the target ended under
// the request; without a target that the request was answered, and without a request that the target answered.
type CrashKey struct {
	Print  Fingerprint
	Target TargetKey
}

// CrashUpdate is such a fact as one process tells another; Age is how long ago it was so.
type CrashUpdate struct {
	CrashKey
	Age time.Duration
	// Begun says of an end that a part of the answer had come.
	Begun bool
}

const (
	// crashUpdateInterval is by how much a later word on the same must be later to be told again.
	crashUpdateInterval = time.Second
	// maxIncarnationLen bounds the name of an incarnation that a peer tells, in bytes.
	maxIncarnationLen = 256
	// factsFactor bounds the facts that are told, as a multiple of the requests remembered.
	factsFactor = 4
)

// newCrashUpdates returns the facts that are told, of which there are none.
func newCrashUpdates() *Feed[CrashKey, crash] {
	return NewFeed[CrashKey](func(old, e crash) bool { return e.begun == old.begun && e.at.Sub(old.at) < crashUpdateInterval })
}

// sweepFacts drops the words that speak for requests and targets and are long ago, or all of
// them where there are too many: what they were told for is settled by then.
func (c *crashTracker) sweepFacts(now time.Time) {
	keys := c.updates.Keys()
	many := len(keys) > factsFactor*c.MaxRequests
	for _, k := range keys {
		e, _ := c.updates.Get(k)
		if isEnd := k.Print.Known() && k.Target != (TargetKey{}); !isEnd && (many || now.Sub(e.at) >= suspectTTL) {
			c.updates.Drop(k)
		}
	}
}

// CrashesSince returns what is known of targets that ended under requests beyond a version of
// it, and the version that this is.
func (b *Board) CrashesSince(now time.Time, after int64) (words []CrashUpdate, version int64) {
	changes, _ := b.crashes.updates.Since(after)
	for _, ch := range changes {
		if !ch.Gone {
			words = append(words, CrashUpdate{CrashKey: ch.Key, Age: now.Sub(ch.Value.at), Begun: ch.Value.begun})
		}
	}
	return words, b.crashes.updates.Version()
}

// TakeCrashes takes what another process knows of them.
func (b *Board) TakeCrashes(now time.Time, words []CrashUpdate) []Action {
	facts := b.crashes.updates
	for _, w := range words {
		at := now.Add(-w.Age)
		if w.Age < 0 || w.Age >= suspectTTL || len(w.Target.Incarnation) > maxIncarnationLen {
			continue
		}
		switch request, target := w.Print.Known(), w.Target != (TargetKey{}); {
		case request && target:
			if !b.refuted(CrashKey{Print: w.Print}, at) && !b.refuted(CrashKey{Target: w.Target}, at) {
				b.recordCrash(now, w.Print, w.Target, crash{at: at, begun: w.Begun})
			}
		case request:
			facts.Set(w.CrashKey, crash{at: at})
			b.clearRequest(now, w.Print, at)
		case target:
			facts.Set(w.CrashKey, crash{at: at})
			b.clearTarget(now, w.Target, at)
		}
	}
	return b.dispatch(now)
}

// refuted reports whether a fact is known to hold at a time or after it.
func (b *Board) refuted(k CrashKey, at time.Time) bool {
	known, ok := b.crashes.updates.Get(k)
	return ok && !at.After(known.at)
}

// HeldRequest is a request that is held back, or under which some targets ended, as operators see it.
type HeldRequest struct {
	Print Fingerprint `json:"fingerprint"`
	// Org and Pool are empty at a process to which no copy of the request came.
	Org  string `json:"organisation,omitempty"`
	Pool string `json:"service,omitempty"`
	// Held says that it is held back, for Left more; else it is only suspected.
	Held bool          `json:"held"`
	Left time.Duration `json:"leftNs,omitempty"`
	// Targets are the targets that ended under it, Age how long ago the last of them did.
	Targets []string      `json:"targets"`
	Age     time.Duration `json:"ageNs"`
}

// HeldRequests returns the requests under which targets ended, those that are held back first.
func (b *Board) HeldRequests(now time.Time) []HeldRequest {
	out := make([]HeldRequest, 0, len(b.crashes.suspects))
	for f, s := range b.crashes.suspects {
		h := HeldRequest{Print: f, Org: s.org, Pool: s.pool, Targets: s.crashedTargetNames(), Age: now.Sub(s.newest)}
		if until, held := b.crashes.heldUntil(now, f); held {
			h.Held, h.Left = true, until.Sub(now)
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b HeldRequest) int {
		switch {
		case a.Held && !b.Held:
			return -1
		case b.Held && !a.Held:
			return 1
		}
		return strings.Compare(a.Print.String(), b.Print.String())
	})
	return out
}

// Release takes an operator's word that a request is to be held back no more: what ended under
// it up to now does not count. It reports whether the request was known.
func (b *Board) Release(now time.Time, f Fingerprint) bool {
	if b.crashes.suspects[f] == nil {
		return false
	}
	b.clearRequest(now, f, now)
	b.crashes.updates.Set(CrashKey{Print: f}, crash{at: now})
	b.crashes.onChange()
	return true
}

// HeldCrashes returns the ends under the requests that are held back, at most so many of them, those
// that ended a target last first. Own reports whether this process saw the newest end under one of them.
func (b *Board) HeldCrashes(now time.Time, most int) (words []CrashUpdate, own bool) {
	c := &b.crashes
	held := slices.DeleteFunc(slices.Collect(maps.Keys(c.suspects)), func(f Fingerprint) bool { return !c.holds(now, f) })
	slices.SortFunc(held, func(a, b Fingerprint) int { return c.suspects[b].newest.Compare(c.suspects[a].newest) })
	for _, f := range held[:min(most, len(held))] {
		s := c.suspects[f]
		own = own || s.own
		for m, e := range s.crashes {
			words = append(words, CrashUpdate{CrashKey: CrashKey{Print: f, Target: m}, Age: now.Sub(e.at), Begun: e.begun})
		}
	}
	return words, own
}
