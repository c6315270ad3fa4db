package route

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Crash facts that processes exchange, and the view of them for operators.

// CrashKey identifies a fact about a request and a target. With both set, the target crashed while
// running the request. Without a target, the request was answered; without a request, the target
// answered.
type CrashKey struct {
	Print  Fingerprint
	Target TargetKey
}

// CrashUpdate is a fact as sent to another process. Age is how long ago it happened.
type CrashUpdate struct {
	CrashKey
	Age time.Duration
	// Begun is set for a crash after a part of the answer had arrived.
	Begun bool
	// Part is set if Print identifies a part of prompts.
	Part bool
}

const (
	// crashUpdateInterval is the least time by which a fact must be newer to be sent again, and
	// partUpdateInterval the same for a part whose answers go on: targets may crash every 0.1 s.
	crashUpdateInterval = time.Second
	partUpdateInterval  = 100 * time.Millisecond
	// maxIncarnationLen bounds the incarnation names accepted from peers, in bytes.
	maxIncarnationLen = 256
	// updatesFactor bounds the shared facts, as a multiple of the remembered requests.
	updatesFactor = 4
)

// newCrashUpdates returns an empty feed of facts.
func newCrashUpdates() *Feed[CrashKey, crash] {
	return NewFeed[CrashKey](func(old, e crash) bool {
		interval := crashUpdateInterval
		if e.part {
			interval = partUpdateInterval
		}
		return e.begun == old.begun && e.at.Sub(old.at) < interval
	})
}

// announce shares a fact with the other processes at once.
func (c *crashTracker) announce(k CrashKey, e crash) {
	c.updates.Set(k, e)
	c.onChange()
}

// sweepUpdates removes facts that clear requests or targets once they have expired, or all of them
// if there are too many. The crashes that they refute are settled by then.
func (c *crashTracker) sweepUpdates(now time.Time) {
	keys := c.updates.Keys()
	many := len(keys) > updatesFactor*c.MaxRequests
	for _, k := range keys {
		e, _ := c.updates.Get(k)
		if isEnd := k.Print.Known() && k.Target != (TargetKey{}); !isEnd && (many || now.Sub(e.at) >= suspectTTL) {
			c.updates.Drop(k)
		}
	}
}

// CrashesSince returns the facts that changed after a version of the feed, and the current version.
func (b *Board) CrashesSince(now time.Time, after int64) (updates []CrashUpdate, version int64) {
	changes, _ := b.crashes.updates.Since(after)
	for _, ch := range changes {
		if !ch.Gone {
			updates = append(updates, CrashUpdate{CrashKey: ch.Key, Age: now.Sub(ch.Value.at), Begun: ch.Value.begun, Part: ch.Value.part || b.crashes.isPart(ch.Key.Print)})
		}
	}
	return updates, b.crashes.updates.Version()
}

// TakeCrashes merges facts received from another process.
func (b *Board) TakeCrashes(now time.Time, updates []CrashUpdate) []Action {
	feed := b.crashes.updates
	for _, w := range updates {
		at := now.Add(-w.Age)
		if w.Age < 0 || w.Age >= suspectTTL || len(w.Target.Incarnation) > maxIncarnationLen {
			continue
		}
		switch request, target := w.Print.Known(), w.Target != (TargetKey{}); {
		case request && target:
			b.takeCrash(now, w, at)
		case request:
			feed.Set(w.CrashKey, crash{at: at, part: w.Part})
			b.clearRequest(now, w.Print, at)
		case target:
			feed.Set(w.CrashKey, crash{at: at})
			b.clearTarget(now, w.Target, at)
		}
	}
	return b.dispatch(now)
}

// takeCrash counts a crash that another process observed, unless it is refuted.
func (b *Board) takeCrash(now time.Time, w CrashUpdate, at time.Time) {
	if b.refuted(CrashKey{Print: w.Print}, at) || b.refuted(CrashKey{Target: w.Target}, at) || b.soundSince(now, w.Print, at) {
		return
	}
	if s := b.recordCrash(now, w.Print, w.Target, crash{at: at, begun: w.Begun}); s != nil {
		s.part = s.part || w.Part
	}
	// A process that takes itself for cut off does not count crashes. Another one saw this one.
	b.recordIncarnationCrash(now, w.Target)
}

// isPart reports whether a fingerprint is known to be that of a part.
func (c *crashTracker) isPart(f Fingerprint) bool {
	s := c.suspects[f]
	return s != nil && s.part
}

// refuted reports whether a fact is known to hold at the given time or later.
func (b *Board) refuted(k CrashKey, at time.Time) bool {
	known, ok := b.crashes.updates.Get(k)
	return ok && !at.After(known.at)
}

// HeldRequest describes a held or suspect request to operators.
type HeldRequest struct {
	Print Fingerprint `json:"fingerprint"`
	// Part is set for a part of prompts: requests with it are held.
	Part bool `json:"part,omitempty"`
	// Org and Pool are empty if this process received no copy of the request.
	Org  string `json:"organisation,omitempty"`
	Pool string `json:"service,omitempty"`
	// Held is set while the request is held, for another Left; otherwise it is only suspect.
	Held bool          `json:"held"`
	Left time.Duration `json:"leftNs,omitempty"`
	// Targets are the targets that crashed under it. Age is the time since the last of these
	// crashes.
	Targets []string      `json:"targets"`
	Age     time.Duration `json:"ageNs"`
}

// HeldRequests returns the held and suspect requests, the held ones first.
func (b *Board) HeldRequests(now time.Time) []HeldRequest {
	out := make([]HeldRequest, 0, len(b.crashes.suspects))
	for f, s := range b.crashes.suspects {
		h := HeldRequest{Print: f, Part: s.part, Org: s.org, Pool: s.pool, Targets: s.crashedTargetNames(), Age: now.Sub(s.newest)}
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

// Release ends the hold of a request on behalf of an operator: crashes up to now no longer count.
// It reports whether the request was known.
func (b *Board) Release(now time.Time, f Fingerprint) bool {
	if b.crashes.suspects[f] == nil {
		return false
	}
	b.clearRequest(now, f, now)
	b.crashes.announce(CrashKey{Print: f}, crash{at: now})
	return true
}

// HeldCrashes returns the crashes of up to most held requests, those with the latest crash first.
// own reports whether this process observed the latest crash of one of them.
func (b *Board) HeldCrashes(now time.Time, limit int) (updates []CrashUpdate, own bool) {
	c := &b.crashes
	held := slices.DeleteFunc(slices.Collect(maps.Keys(c.suspects)), func(f Fingerprint) bool { return !c.holds(now, f) })
	slices.SortFunc(held, func(a, b Fingerprint) int { return c.suspects[b].newest.Compare(c.suspects[a].newest) })
	for _, f := range held[:min(limit, len(held))] {
		s := c.suspects[f]
		own = own || s.own
		for m, e := range s.crashes {
			updates = append(updates, CrashUpdate{CrashKey: CrashKey{Print: f, Target: m}, Age: now.Sub(e.at), Begun: e.begun, Part: s.part})
		}
	}
	return updates, own
}
