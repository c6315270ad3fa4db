package route

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
)

// A target may name the requests a second that it takes from all routers together. All of
// them keep that as one account, by the same rule as organisations' limits: each takes off
// what the others say that they sent. A router that knows the limit from others alone keeps
// it too, so that none learns of it by sending.

// targetLimit is a target's limit as this router knows it; it ends with the target's incarnation.
type targetLimit struct {
	named     bool
	perSecond float64
	// seq grows with each change that any router saw, so that the newest word is told from
	// its echoes; at is when this router took it.
	seq uint64
	at  time.Time
	// account is what may be sent, counted how many other routers told of it at limitsReportedAt.
	account sharedBucket
	counted int
	toldAt  time.Time
}

// LimitUpdate is what routers tell each other of a target's limit.
type LimitUpdate struct {
	Target TargetKey
	// Seq orders words on one incarnation; of two with the same the lesser limit counts.
	Seq uint64
	// Named is false for a limit that ended.
	Named     bool
	PerSecond float64
	// Asked and Used are the requests a second that so many routers wanted to send and sent.
	Asked, Used float64
	Routers     int
	// Level is the sum of what so many routers know to be left of it, as Levels says.
	Level  float64
	Levels int
}

// The bounds of targets' limits.
const (
	// limitPart is the part of a limit that is used; the rest is for what is sent before all
	// have heard of it.
	limitPart = 0.95
	// limitBurst is what may be sent at once, as a time of the limit, and leastBurst what may at the
	// least, in requests.
	limitBurst = 500 * time.Millisecond
	leastBurst = 2
	// leastLimit stands for a limit of nothing, whose end is learned by a rare try alone, in
	// requests a second.
	leastLimit = 0.1
	// endedLimitTellTime is how long others are told that a limit ended.
	endedLimitTellTime = 5 * time.Second
	// maxLimitUpdates bounds the words on limits of a [PeerState].
	maxLimitUpdates = 64
)

// applyLimitHint takes an answer's word on the target's limit. One that names none lifts the limit
// only if its request was sent after the limit was heard of: answers overtake each other.
func (b *Board) applyLimitHint(now time.Time, t *target, sent time.Time, l LimitHint) {
	known := &t.limit
	switch {
	case l.Invalid, !l.Named && !known.named:
	case l.Named && known.named && l.PerSecond == known.perSecond:
		known.at = now
	case l.Named, sent.After(known.at):
		b.setLimit(now, t, LimitUpdate{Seq: known.seq + 1, Named: l.Named, PerSecond: l.PerSecond}, "an answer")
	}
}

// setLimit puts the newest word on a target's limit in force.
func (b *Board) setLimit(now time.Time, t *target, w LimitUpdate, source string) {
	l := &t.limit
	if w.Named != l.named || w.PerSecond != l.perSecond {
		text := "none any more"
		if w.Named {
			text = fmt.Sprintf("%g requests a second from all routers", w.PerSecond)
		}
		b.emit(event.Event{Code: event.TargetLimit, Target: t.name(), Detail: text + ", says " + source})
	}
	if w.Named && !l.named {
		l.account = newSharedBucket(now)
	}
	l.named, l.perSecond, l.seq, l.at = w.Named, w.PerSecond, w.Seq, now
}

// targetLimitGrant is this router's and those routers' part of a target's limit that tell it what they
// use; the others have an equal part each, since nobody knows what they use.
func (b *Board) targetLimitGrant(now time.Time, l *targetLimit) grant {
	known, all := b.countLimitSharersAt(now, l.counted, l.toldAt)
	rate := limitPart * max(l.perSecond, leastLimit)
	part := float64(known) / float64(all)
	burst := max(leastBurst, rate*limitBurst.Seconds())
	return grant{rate: rate * part, burst: burst * part, whole: known == all, alone: known == 1}
}

// withinLimit reports whether a request that is to go to the target may. However often it
// is looked at, it is counted once and has one draw, so that looking again is no second try.
func (b *Board) withinLimit(now time.Time, t *target, r *request) bool {
	if !t.limit.named {
		return true
	}
	a, g := &t.limit.account, b.targetLimitGrant(now, &t.limit)
	a.refill(now, g)
	if !r.wants[t.addr] {
		if r.wants == nil {
			r.wants = make(map[netip.AddrPort]bool)
		}
		r.wants[t.addr] = true
		a.asked.add(now, 1)
	}
	asked := a.others.asked + max(0, a.asked.rate(now)-1/demandMeterWindow.Seconds())
	draw := drawFor(r.ID, t)
	return draw < b.admitProbability(now, &t.limit, g, asked) && a.allows(g, 1, draw, max(asked, b.extrapolatedDemand(now, &t.limit)))
}

// admitProbability is the chance with which a request goes although a load may begin at this moment, at all routers at
// once. Each of many would take a limit that nobody uses for its own, and what they send until they hear of each
// other is more than it allows. The more is known to be asked for, the less can come unforeseen; where that is
// as much as the limit, the chance is one.
func (b *Board) admitProbability(now time.Time, l *targetLimit, g grant, asked float64) float64 {
	_, all := b.countLimitSharersAt(now, l.counted, l.toldAt)
	return l.account.level/float64(all) + asked/g.rate
}

// extrapolatedDemand is what all routers ask for together if the others are asked what this one was just now.
// What they were told of each other is older than a load that begins at once: routers that each take a limit for
// unused use it as often as there are routers. One request alone says nothing of the others.
func (b *Board) extrapolatedDemand(now time.Time, l *targetLimit) float64 {
	_, all := b.countLimitSharersAt(now, l.counted, l.toldAt)
	return float64(all) * max(0, l.account.asked.windowRate(now)-1/demandMeterWindow.Seconds())
}

// drawFor is a number from 0 to 1 that a request and a target always have together.
func drawFor(request string, t *target) float64 {
	return float64(mixHash(xxh3.HashString(request)^t.hash)>>11) / (1 << 53)
}

// chargeLimit takes an attempt off its target's limit.
func (a *attempt) chargeLimit(now time.Time) {
	if l := &a.target.limit; l.named {
		a.limited = true
		l.account.charge(now, 1)
	}
}

// giveBackLimit gives back what an attempt was charged that did not reach its target.
func (a *attempt) giveBackLimit(now time.Time) {
	if a.limited && a.target.limit.named {
		a.target.limit.account.refund(now, 1)
	}
}

// limitUpdates returns what this router tells of targets' limits.
func (b *Board) limitUpdates(now time.Time) []LimitUpdate {
	var out []LimitUpdate
	for _, t := range b.targets {
		l := &t.limit
		if len(out) == maxLimitUpdates || !l.named && (l.seq == 0 || now.Sub(l.at) > endedLimitTellTime) {
			continue
		}
		w := LimitUpdate{Target: t.key(), Seq: l.seq, Named: l.named, PerSecond: l.perSecond}
		if l.named {
			f := l.account.flow(now)
			w.Asked, w.Used, w.Routers = f.asked, f.used, 1
			if f.known {
				w.Level, w.Levels = f.level, 1
			}
		}
		out = append(out, w)
	}
	return out
}

// joined is a word of more routers on the same target.
func (w LimitUpdate) joined(o LimitUpdate) LimitUpdate {
	if o.newer(w) {
		w.Target, w.Seq, w.Named, w.PerSecond = o.Target, o.Seq, o.Named, o.PerSecond
	}
	w.Asked += o.Asked
	w.Used += o.Used
	w.Routers += o.Routers
	w.Level += o.Level
	w.Levels += o.Levels
	return w
}

// newer reports whether the word replaces another.
func (w LimitUpdate) newer(o LimitUpdate) bool {
	switch {
	case w.Seq != o.Seq:
		return w.Seq > o.Seq
	case w.Named != o.Named:
		return w.Named
	}
	return w.Named && w.PerSecond < o.PerSecond
}

// withoutUsage is the word as it counts once it is old: the limit, and nobody's use.
func (w LimitUpdate) withoutUsage() LimitUpdate {
	return LimitUpdate{Target: w.Target, Seq: w.Seq, Named: w.Named, PerSecond: w.PerSecond}
}

// mergeLimits takes what the other routers told of targets' limits and of their use.
func (b *Board) mergeLimits(now time.Time, states map[string]PeerState) {
	told := make(map[netip.AddrPort]LimitUpdate)
	for _, s := range states {
		for _, w := range s.Limits {
			if t, ok := b.targets[w.Target.Target]; ok && w.Target.Incarnation.Same(t.incarnation) {
				told[t.addr] = told[t.addr].joined(w)
			}
		}
	}
	for _, t := range b.targets {
		l, w := &t.limit, told[t.addr]
		if own := (LimitUpdate{Seq: l.seq, Named: l.named, PerSecond: l.perSecond}); w.newer(own) {
			b.setLimit(now, t, w, "a peer")
		}
		if !l.named {
			continue
		}
		l.counted, l.toldAt = w.Routers, now
		l.account.mergeOthers(now, b.targetLimitGrant(now, l), usageRateOf(w.Asked, w.Used, w.Level, w.Levels))
	}
}
