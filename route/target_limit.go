package route

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
)

// A target may announce the number of requests per second that it accepts from all routers
// together. The routers enforce it with a shared bucket, as they do for organisations' limits: each
// one deducts what the others report to have sent. A router that knows the limit only from other
// routers enforces it too, so that none has to learn of it by sending.

// targetLimit is a target's limit as known to this router. It ends with the target's incarnation.
type targetLimit struct {
	named     bool
	perSecond float64
	// seq increases with each change that any router observes, which distinguishes the latest value
	// from older ones that are still being relayed. at is when this router learned of it.
	seq uint64
	at  time.Time
	// bucket is the shared bucket. reporters other routers reported their usage at reportedAt.
	bucket     sharedBucket
	reporters  int
	reportedAt time.Time
}

// LimitUpdate is a target's limit and its usage as routers report them to each other.
type LimitUpdate struct {
	Target TargetKey
	// Seq orders the updates about an incarnation. Of two with the same Seq, the lower limit
	// applies.
	Seq uint64
	// Named is false if the limit was removed.
	Named     bool
	PerSecond float64
	// Asked and Used are the requests per second that Routers routers wanted to send and did send.
	Asked, Used float64
	Routers     int
	// Level is the sum of the levels known to Levels routers.
	Level  float64
	Levels int
}

// Constants of targets' limits.
const (
	// targetLimitFraction is the part of a limit that is used. The rest covers what is sent before
	// all routers know of it.
	targetLimitFraction = 0.95
	// targetBurstTime is the burst, as a time at the limit; minTargetBurst is its lower bound, in
	// requests.
	targetBurstTime = 500 * time.Millisecond
	minTargetBurst  = 2
	// minTargetLimit replaces a limit of zero, in requests per second. A rare attempt is the only
	// way to learn that such a limit has ended.
	minTargetLimit = 0.1
	// endedLimitTellTime is how long the end of a limit is reported to others.
	endedLimitTellTime = 5 * time.Second
	// maxLimitUpdates bounds the limits in a [PeerState].
	maxLimitUpdates = 64
)

// applyLimitHint applies the limit stated by an answer. An answer without a limit removes the known
// one only if its request was sent after that was learned, because answers can overtake each other.
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

// setLimit sets a target's limit.
func (b *Board) setLimit(now time.Time, t *target, w LimitUpdate, source string) {
	l := &t.limit
	if w.Named != l.named || w.PerSecond != l.perSecond {
		text := "no limit any more"
		if w.Named {
			text = fmt.Sprintf("%g requests per second from all routers", w.PerSecond)
		}
		b.emit(event.Event{Code: event.TargetLimit, Target: t.name(), Detail: text + ", reported by " + source})
	}
	if w.Named && !l.named {
		l.bucket = newSharedBucket(now)
	}
	l.named, l.perSecond, l.seq, l.at = w.Named, w.PerSecond, w.Seq, now
}

// targetLimitGrant returns the part of a target's limit for this router and those that report their
// usage to it. Each other router is assumed to use an equal share, since its usage is unknown.
func (b *Board) targetLimitGrant(now time.Time, l *targetLimit) grant {
	known, all := b.countLimitSharersAt(now, l.reporters, l.reportedAt)
	rate := targetLimitFraction * max(l.perSecond, minTargetLimit)
	part := float64(known) / float64(all)
	burst := max(minTargetBurst, rate*targetBurstTime.Seconds())
	return grant{rate: rate * part, burst: burst * part, whole: known == all, alone: known == 1}
}

// withinLimit reports whether the target's limit admits a request. The request is counted once per
// target and always uses the same sample, so that repeated checks are not further chances.
func (b *Board) withinLimit(now time.Time, t *target, r *request) bool {
	if !t.limit.named {
		return true
	}
	bucket, g := &t.limit.bucket, b.targetLimitGrant(now, &t.limit)
	bucket.refill(now, g)
	if !r.wants[t.addr] {
		if r.wants == nil {
			r.wants = make(map[netip.AddrPort]bool)
		}
		r.wants[t.addr] = true
		bucket.asked.add(now, 1)
	}
	asked := bucket.others.asked + max(0, bucket.asked.rate(now)-1/demandMeterWindow.Seconds())
	sample := sampleFor(r.ID, t)
	return sample < b.admitProbability(now, &t.limit, g, asked) && bucket.allows(g, 1, sample, max(asked, b.extrapolatedDemand(now, &t.limit)))
}

// admitProbability returns the probability with which a request is admitted, considering that
// demand may begin at all routers at this moment. Each router would consider the limit unused, and
// together they would exceed it before they learn of each other's usage. The higher the known
// demand, the less additional demand can appear unexpectedly; once it equals the limit, the
// probability is one.
func (b *Board) admitProbability(now time.Time, l *targetLimit, g grant, asked float64) float64 {
	_, all := b.countLimitSharersAt(now, l.reporters, l.reportedAt)
	return l.bucket.level/float64(all) + asked/g.rate
}

// extrapolatedDemand returns the total demand under the assumption that the other routers currently
// see the same demand as this one. Their reports are too old for demand that starts suddenly: if
// each router considered the limit unused, it would be used once per router. A single request is no
// evidence of demand elsewhere.
func (b *Board) extrapolatedDemand(now time.Time, l *targetLimit) float64 {
	_, all := b.countLimitSharersAt(now, l.reporters, l.reportedAt)
	return float64(all) * max(0, l.bucket.asked.windowRate(now)-1/demandMeterWindow.Seconds())
}

// sampleFor returns a number in [0, 1) that is fixed for a request and a target.
func sampleFor(request string, t *target) float64 {
	return float64(mixHash(xxh3.HashString(request)^t.hash)>>11) / (1 << 53)
}

// chargeLimit charges an attempt to its target's limit.
func (a *attempt) chargeLimit(now time.Time) {
	if l := &a.target.limit; l.named {
		a.limited = true
		l.bucket.charge(now, 1)
	}
}

// refundLimit refunds the charge of an attempt that did not reach its target.
func (a *attempt) refundLimit(now time.Time) {
	if a.limited && a.target.limit.named {
		a.target.limit.bucket.refund(now, 1)
	}
}

// limitUpdates returns the targets' limits as reported to other routers.
func (b *Board) limitUpdates(now time.Time) []LimitUpdate {
	var out []LimitUpdate
	for _, t := range b.targets {
		l := &t.limit
		if len(out) == maxLimitUpdates || !l.named && (l.seq == 0 || now.Sub(l.at) > endedLimitTellTime) {
			continue
		}
		w := LimitUpdate{Target: t.key(), Seq: l.seq, Named: l.named, PerSecond: l.perSecond}
		if l.named {
			f := l.bucket.flow(now)
			w.Asked, w.Used, w.Routers = f.asked, f.used, 1
			if f.known {
				w.Level, w.Levels = f.level, 1
			}
		}
		out = append(out, w)
	}
	return out
}

// joined merges an update from further routers about the same target.
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

// newer reports whether the update supersedes another.
func (w LimitUpdate) newer(o LimitUpdate) bool {
	switch {
	case w.Seq != o.Seq:
		return w.Seq > o.Seq
	case w.Named != o.Named:
		return w.Named
	}
	return w.Named && w.PerSecond < o.PerSecond
}

// withoutUsage returns the update without its usage, which is how it counts once it is old.
func (w LimitUpdate) withoutUsage() LimitUpdate {
	return LimitUpdate{Target: w.Target, Seq: w.Seq, Named: w.Named, PerSecond: w.PerSecond}
}

// mergeLimits merges the limits and usage that the other routers reported.
func (b *Board) mergeLimits(now time.Time, states map[string]PeerState) {
	reported := make(map[netip.AddrPort]LimitUpdate)
	for _, s := range states {
		for _, w := range s.Limits {
			if t, ok := b.targets[w.Target.Target]; ok && w.Target.Incarnation.Same(t.incarnation) {
				reported[t.addr] = reported[t.addr].joined(w)
			}
		}
	}
	for _, t := range b.targets {
		l, w := &t.limit, reported[t.addr]
		if own := (LimitUpdate{Seq: l.seq, Named: l.named, PerSecond: l.perSecond}); w.newer(own) {
			b.setLimit(now, t, w, "a peer")
		}
		if !l.named {
			continue
		}
		l.reporters, l.reportedAt = w.Routers, now
		l.bucket.mergeOthers(now, b.targetLimitGrant(now, l), usageRateOf(w.Asked, w.Used, w.Level, w.Levels))
	}
}
