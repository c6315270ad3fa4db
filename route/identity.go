package route

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
)

// setListDraining takes the list's word on leaving, of the incarnation that it names or, where it
// names none, of whichever runs now.
func (b *Board) setListDraining(now time.Time, t *target, draining bool) {
	if draining && !t.listedDraining {
		t.markedAt = now
		b.setDraining(t, "vm list")
	}
	t.listedDraining = draining
}

// identify notes the incarnation a target says it has. A new one starts with no
// beliefs and no marks, except that a word of the list that began after the old
// one was last heard may have meant the new. A word that began before it meant
// the old one, and holds the new one back only while the list goes on saying it.
func (b *Board) identify(now time.Time, t *target, incarnation Incarnation) {
	if incarnation == "" {
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
		b.setDraining(t, "vm list")
	}
	b.emit(event.Event{Code: code, Target: t.name(), Detail: "incarnation " + string(incarnation)})
	if b.marks[TargetKey{t.addr, incarnation}] {
		b.setDraining(t, "a peer")
	}
}

// completeIncarnation takes the time of a target's start that an earlier word of it did not tell.
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

// resetTarget drops what an earlier incarnation of a target taught: what it held, how it
// failed, how fast it read and answered, and what peers sent it. What this router still has
// under way there ends with its connection.
func (b *Board) resetTarget(now time.Time, t *target) {
	b.renewSlot(now, t)
	b.dropParts(t)
	t.sends, t.failedSends = newMeter(failureWindow), newMeter(failureWindow)
	t.learned, t.service = 0, defaultService
	t.reportOutdated = true
	t.unused = ""
	t.limit = targetLimit{}
	t.backoffUntil = time.Time{}
	t.peerInFlight, t.peerPrefill, t.peerTokens = 0, 0, 0
	t.peerSends = nil
	t.suspectedAt, t.silentAt = time.Time{}, time.Time{}
}

// IncarnationOf returns the incarnation of the target at an address, empty where none is known.
func (b *Board) IncarnationOf(addr netip.AddrPort) Incarnation {
	if t, ok := b.targets[addr]; ok {
		return t.incarnation
	}
	return ""
}

// setDraining stops new work for the target's present incarnation; nothing undoes it.
func (b *Board) setDraining(t *target, source string) {
	if t.incarnation != "" {
		b.marks[t.key()] = true
	}
	if t.draining {
		return
	}
	b.version++
	t.draining = true
	b.emit(event.Event{Code: event.TargetLeaving, Target: t.name(), Detail: "says " + source})
}

// MarkDraining takes a mark from a peer or an operator.
func (b *Board) MarkDraining(m TargetKey) {
	if b.marks[m] {
		return
	}
	b.marks[m] = true
	if t, ok := b.targetByKey(m); ok {
		b.setDraining(t, "a peer")
	}
}

// SetHeldTargets takes the whole set of targets that get no new work for now, because the
// holder of their pool's lease is emptying them before an order.
func (b *Board) SetHeldTargets(held map[TargetKey]bool) {
	b.holding = held
	for _, t := range b.targets {
		if now := held[t.key()]; now != t.held {
			b.version++
			t.held = now
		}
	}
}

// DrainingTargets returns the leaving marks of targets that are still on the board.
func (b *Board) DrainingTargets() []TargetKey {
	var out []TargetKey
	for m := range b.marks {
		if _, ok := b.targetByKey(m); ok {
			out = append(out, m)
		}
	}
	return out
}
