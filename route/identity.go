package route

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// setListDraining sets whether the target list marks the target as draining. The mark applies to
// the incarnation that the list names or, if it names none, to the one running now.
func (b *Board) setListDraining(now time.Time, t *target, draining bool) {
	if draining && !t.listedDraining {
		t.markedAt = now
		b.setDraining(t, "the vm list")
	}
	t.listedDraining = draining
}

// identify records the incarnation that a target reports. A new incarnation starts without cache
// entries and draining marks, with one exception: a draining mark of the list that appeared after
// the last report of the old incarnation may refer to the new one. A mark that appeared earlier
// referred to the old one, and excludes the new one only while the list keeps it.
func (b *Board) identify(now time.Time, t *target, incarnation Incarnation) {
	if incarnation == "" || b.hasSucceeded(now, t.addr, incarnation) {
		return
	}
	if incarnation.Same(t.incarnation) {
		b.completeIncarnation(t, incarnation)
		return
	}
	code := event.TargetRestarted
	ambiguous := t.draining && !t.listNames && !t.markedAt.Before(t.reported)
	if t.incarnation == "" {
		code = event.TargetSeen
	} else {
		b.recordIncarnationCrash(now, t.key())
		b.resetTarget(now, t)
	}
	b.version++
	t.incarnation = incarnation
	b.restoreHints(t)
	t.assumed = assumedWeights{}
	t.draining = false
	if ambiguous {
		b.setDraining(t, "the vm list")
	}
	b.emit(event.Event{Code: code, Target: t.name(), Detail: "incarnation " + string(incarnation)})
	if b.marks[TargetKey{t.addr, incarnation}] {
		b.setDraining(t, "a peer")
	}
}

// completeIncarnation adds the start time to an incarnation that was first known without it.
func (b *Board) completeIncarnation(t *target, incarnation Incarnation) {
	if _, known := t.incarnation.Start(); known || incarnation == t.incarnation {
		return
	}
	t.incarnation = incarnation
	b.version++
	if t.draining {
		b.marks[t.key()] = true
	}
}

// resetTarget discards what was learned about a target's earlier incarnation: its cache, failures,
// prefill rate and service time, and the load of peers. Attempts of this router that are still in
// flight there end with their connections.
func (b *Board) resetTarget(now time.Time, t *target) {
	b.renewSlot(now, t)
	b.dropParts(t)
	t.sends, t.failedSends = newMeter(failureWindow), newMeter(failureWindow)
	t.learned, t.service = 0, defaultService
	t.recent, t.rates, t.peerRate, t.unread = 0, nil, weightedRate{}, 0
	t.capacity, t.home = capacityWeight{}, capacityWeight{}
	t.reportOutdated = true
	t.unused = ""
	t.limit, t.brittle = targetLimit{}, brittleness{}
	t.backoffUntil = time.Time{}
	t.peerInFlight, t.peerPrefill, t.peerTokens = 0, 0, 0
	t.peerSends = nil
	t.suspectedAt, t.unresponsiveAt = time.Time{}, time.Time{}
	t.reprobe = reprobe{}
	t.endedAt, t.loadingUntil, t.ordered, t.endedReports = time.Time{}, time.Time{}, false, endedReports{}
}

// IncarnationOf returns the incarnation of the target at an address, or an empty one if it is
// unknown.
func (b *Board) IncarnationOf(addr netip.AddrPort) Incarnation {
	if t, ok := b.targets[addr]; ok {
		return t.incarnation
	}
	return ""
}

// setDraining stops new work for the target's current incarnation. It cannot be undone.
func (b *Board) setDraining(t *target, source string) {
	if t.incarnation != "" {
		b.marks[t.key()] = true
	}
	if t.draining {
		return
	}
	b.version++
	t.draining = true
	b.emit(event.Event{Code: event.TargetLeaving, Target: t.name(), Detail: "reported by " + source})
}

// MarkDraining records a draining mark received from a peer or an operator.
func (b *Board) MarkDraining(m TargetKey) {
	if b.marks[m] {
		return
	}
	b.marks[m] = true
	if t, ok := b.targetByKey(m); ok {
		b.setDraining(t, "a peer")
	}
}

// SetHeldTargets replaces the set of targets that get no new work for now because the lease holder
// of their pool empties them before an order.
func (b *Board) SetHeldTargets(held map[TargetKey]bool) {
	b.holding = held
	for _, t := range b.targets {
		if now := held[t.key()]; now != t.held {
			b.version++
			t.held = now
		}
	}
}

// DrainingTargets returns the draining marks of targets that are on the board.
func (b *Board) DrainingTargets() []TargetKey {
	var out []TargetKey
	for m := range b.marks {
		if _, ok := b.targetByKey(m); ok {
			out = append(out, m)
		}
	}
	return out
}
