package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/pathhead/pathhead/event"
)

// A named part of a prompt can crash every target that begins to answer a request with it, whatever
// else the request contains. No two such requests are alike, so each fingerprint of a whole request
// is at one crash at most. The crashes are therefore also counted for each shared part of the requests
// that ran at a crashed target.
//
// Most of these parts are innocent: sound requests have all parts of those that crash targets but one. They
// are told apart by these rules:
//   - an answer that begins and goes on speaks for all its parts: crashes before it began no longer
//     count for them;
//   - the part at most crashes is held first, the rarest of those at about as many, and what it
//     explains counts for no other part. If it was the wrong one, others crash on without it;
//   - a part is not held if a few rarer ones whose answers never went on explain its crashes: requests
//     without those show whether it is to blame;
//   - targets that crash at one moment count once, and only if the part ran at half of them or more;
//   - a part at only some of the crashes of its pool needs more of them, since targets crash for other
//     reasons too, unless a few parts whose answers never went on explain all of them together;
//   - the crashes must span some time, so that other processes can report what ran there, and sound
//     answers can go on.

// Constants of counting crashes for parts.
const (
	// partSurvival is how long an answer must have been streaming to show that its target survives its
	// parts.
	partSurvival = 250 * time.Millisecond
	// maxCountedParts bounds the parts of a request for which crashes are counted.
	maxCountedParts = 64
	// maxCrashesPerPart bounds the crashes remembered per part.
	maxCrashesPerPart = 32
	// partRequestsWindow is the time over which the requests with a part are counted, and maxSeenParts
	// bounds the parts for which they are.
	partRequestsWindow = 10 * time.Second
	maxSeenParts       = 4096
	// maxSoundParts bounds the parts that are remembered from answers that went on.
	maxSoundParts = 2048
	// lossWindow is the time over which the share of lost attempts is measured.
	lossWindow = 4 * time.Second
)

// crashParts returns the fingerprints of the parts for which crashes are counted.
func (r *request) crashParts() []Fingerprint {
	if r.partPrints == nil && len(r.Parts) > 1 {
		r.partPrints = r.SharedParts()
		r.partPrints = r.partPrints[:min(len(r.partPrints), maxCountedParts)]
	}
	return r.partPrints
}

// recordPartCrashes counts a crash for the parts of a broken attempt.
func (b *Board) recordPartCrashes(now time.Time, run brokenAttempt) {
	if run.survived {
		return
	}
	for _, f := range run.parts {
		if b.soundSince(now, f, run.at) {
			continue
		}
		if s := b.recordCrash(now, f, run.target, crash{at: run.at}); s != nil {
			s.part, s.org, s.pool, s.own = true, run.org, run.pool, true
		}
	}
}

// soundSince reports whether an answer with the part that began at the given time or later went on, and
// informs the other processes of it.
func (b *Board) soundSince(now time.Time, f Fingerprint, at time.Time) bool {
	c := &b.crashes
	known := c.sound.get(f)
	if known == nil || known.Before(at) {
		return false
	}
	c.announce(CrashKey{Print: f}, crash{at: *known, part: true})
	return true
}

// vouchForParts records that an answer which began at the given time went on, so that no part of its
// prompt caused a crash before.
func (b *Board) vouchForParts(now time.Time, r *request, began time.Time) {
	c := &b.crashes
	for _, f := range r.crashParts() {
		at := c.sound.getOrCreate(f)
		*at = later(*at, began)
		if s := c.suspects[f]; s != nil && s.crashedBefore(began) {
			b.clearRequest(now, f, began)
			c.announce(CrashKey{Print: f}, crash{at: began, part: true})
		}
	}
}

// vouchWhileStreaming is vouchForParts for an answer that is still streaming.
func (b *Board) vouchWhileStreaming(now time.Time, r *request, a *attempt) {
	if a.firstToken && !a.vouched && now.Sub(a.firstTokenAt) >= partSurvival {
		a.vouched = true
		b.vouchForParts(now, r, a.firstTokenAt)
	}
}

// answerBegan returns when the answer of an attempt began, at the earliest if that was not observed.
func (a *attempt) answerBegan() time.Time {
	if a.firstToken {
		return a.firstTokenAt
	}
	return a.sent
}

func (s *suspectRequest) crashedBefore(at time.Time) bool {
	for _, e := range s.crashes {
		if !e.at.After(at) {
			return true
		}
	}
	return false
}

// crashOf returns the recorded crash of an incarnation, which may be known by another name.
func (s *suspectRequest) crashOf(m TargetKey) (known TargetKey, ok bool) {
	if _, ok := s.crashes[m]; ok {
		return m, true
	}
	for known := range s.crashes {
		if known.Target == m.Target && known.Incarnation.Same(m.Incarnation) {
			return known, true
		}
	}
	return known, false
}

// ranAt reports whether a target crashed under the request or part.
func (s *suspectRequest) ranAt(m TargetKey) bool {
	_, ok := s.crashOf(m)
	return ok
}

// countEnded counts an attempt that ended with an answer, or as its target closed the connection.
func (c *crashTracker) countEnded(now time.Time, lost bool) {
	c.ended.add(now, 1)
	c.lost.decay(now)
	if lost {
		c.lost.add(now, 1)
	}
}

// countPartRequests counts a request for each of its parts.
func (b *Board) countPartRequests(now time.Time, r *request) {
	for _, f := range r.crashParts() {
		m := b.crashes.seen.getOrCreate(f)
		if m.window == 0 {
			*m = newMeter(partRequestsWindow)
		}
		m.add(now, 1)
	}
}

// partHeld returns the part for which a request is held the longest; ok is false if there is none.
func (c *crashTracker) partHeld(now time.Time, r *request) (hold partHold, ok bool) {
	held := c.heldParts()
	if len(held) == 0 {
		return hold, false
	}
	for _, f := range r.crashParts() {
		if h := held[f]; now.Before(h.until) && h.until.After(hold.until) {
			hold, ok = h, true
		}
	}
	return hold, ok
}

// partRefusal returns the refusal of a request that is held for a part of its prompt, or nil.
func (b *Board) partRefusal(now time.Time, r *request) *Refusal {
	hold, held := b.crashes.partHeld(now, r)
	if !held {
		return nil
	}
	return &Refusal{
		Cause: CauseCrashes, RetryAfter: max(hold.until.Sub(now), b.minRetryAfter),
		Detail: fmt.Sprintf("%d targets ended while they ran requests with a part of this prompt; it is held back", hold.crashes),
	}
}

// logHeldParts logs parts that are held from now on.
func (b *Board) logHeldParts(now time.Time) {
	c := &b.crashes
	for f, h := range c.heldParts() {
		if s := c.suspects[f]; now.Before(h.until) && !s.holdLogged {
			s.holdLogged = true
			b.emit(event.Event{Code: event.PartHeld, Org: s.org, Detail: fmt.Sprintf(
				"part %s, service %s, for %s: targets that crashed while running requests with it: %s", f, s.pool, h.until.Sub(now).Round(time.Second), strings.Join(s.crashedTargetNames(), ", "))})
		}
	}
}
