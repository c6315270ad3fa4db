package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// checkOrders checks that orders come from one lease holder at a time, and that no order is
// overridden by an older one.
func (v *verifier) checkOrders() {
	orders := slices.Clone(v.Orders)
	slices.SortStableFunc(orders, func(a, b platformtest.ReceivedOrder) int { return a.Arrived.Compare(b.Arrived) })
	holders := make(map[int64]string)
	last := make(map[string]platformtest.ReceivedOrder)
	accepted := make(map[string]int64)
	for _, o := range v.Orders {
		if o.Status != http.StatusAccepted {
			continue
		}
		if o.Version <= accepted[o.Replica] {
			v.addViolation(SingleLeaseHolder, o.At, o.Replica, "accepted order for weights %d after order for weights %d", o.Version, accepted[o.Replica])
		}
		accepted[o.Replica] = o.Version
	}
	for _, o := range orders {
		if !v.noFault(o.Arrived.Add(-v.Bounds.OrderGrace), o.Arrived, func(t InjectedFault) bool {
			return !t.Until.IsZero() && !t.Until.After(o.Arrived) && (t.Kind == Pause && t.Subject == o.Holder || t.Scope == ScopeLink)
		}) {
			continue
		}
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			v.addViolation(SingleLeaseHolder, o.Arrived, o.Replica, "%s and %s both used fence %d", h, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
		previous, ok := last[o.Replica]
		last[o.Replica] = o
		switch {
		case !ok:
		case o.Fence < previous.Fence:
			v.addViolation(SingleLeaseHolder, o.Arrived, o.Replica, "order with fence %d of %s after fence %d of %s", o.Fence, o.Holder, previous.Fence, previous.Holder)
		case o.Holder != previous.Holder && o.Arrived.Sub(previous.Arrived) < v.Bounds.Lease:
			v.addViolation(SingleLeaseHolder, o.Arrived, o.Replica, "order of %s %s after an order of %s", o.Holder, o.Arrived.Sub(previous.Arrived), previous.Holder)
		}
	}
}

// disturbedUntil returns the time until which a fault excludes time from the bounds on
// weights. Faults of links and of the store do so; those of the store also exclude the
// contact bound after their end.
func (v *verifier) disturbedUntil(t InjectedFault) (until time.Time, ok bool) {
	switch t.Scope {
	case ScopeLink:
		return t.end(v.Now), true
	case ScopeStore:
		return t.end(v.Now).Add(v.Bounds.Contact), true
	}
	return time.Time{}, false
}

// replacedAt returns the time at which newer weights than the given ones were announced.
func (v *verifier) replacedAt(weights int64) (at time.Time, ok bool) {
	for _, n := range v.Announced {
		if n.Weights > weights {
			return n.Acked, true
		}
	}
	return time.Time{}, false
}

// checkWeights checks that no request begins on weights that were replaced longer than the
// bound ago, not counting time that a fault of a link or of the store excludes.
func (v *verifier) checkWeights() {
	for _, r := range v.Runs {
		a, ok := v.byID[r.ID]
		if !ok || !a.Kind.streams() {
			continue
		}
		since, ok := v.replacedAt(r.Weights)
		if !ok {
			continue
		}
		acked := since
		for _, t := range v.Faults {
			if until, ok := v.disturbedUntil(t); ok && !t.From.After(r.StartedAt) && until.After(since) {
				since = until
			}
		}
		if r.StartedAt.Sub(since) > v.Bounds.Weights && v.inContact(a.Node, a.Sent, r.StartedAt) {
			v.addViolation(WeightsCurrent, r.StartedAt, r.ID, "%s sent it to %s with weights %d, %s after newer weights were announced", a.Node, r.Replica, r.Weights, r.StartedAt.Sub(acked))
		}
	}
}

// minSoundStretch is the minimum length of an undisturbed interval that counts towards
// AllWeights.
const minSoundStretch = 2 * time.Second

// undisturbedTime returns the total length of the intervals between two times in which
// neither a link nor the store had a fault.
func (v *verifier) undisturbedTime(from, to time.Time) time.Duration {
	var total time.Duration
	count := func(until time.Time) {
		if d := until.Sub(from); d >= minSoundStretch {
			total += d
		}
	}
	faults := slices.Clone(v.Faults)
	slices.SortStableFunc(faults, func(a, b InjectedFault) int { return a.From.Compare(b.From) })
	for _, t := range faults {
		until, ok := v.disturbedUntil(t)
		if !ok || until.Before(from) || t.From.After(to) {
			continue
		}
		count(t.From)
		from = until
	}
	count(to)
	return total
}

// checkConvergence checks that engines load announced weights within the bound. One engine,
// or up to a tenth of them, may be late.
func (v *verifier) checkConvergence() {
	for _, n := range v.Announced {
		var behind []string
		engines := 0
		for _, t := range v.Targets {
			if t.Service != engineName || !t.Ended.IsZero() || !t.DrainingSince.IsZero() {
				continue
			}
			engines++
			if t.Weights < n.Weights && v.undisturbedTime(later(n.Acked, t.Started), v.Now) > v.Bounds.AllWeights {
				behind = append(behind, fmt.Sprintf("%s has %d", t.ID, t.Weights))
			}
		}
		if len(behind) > 1 && 10*len(behind) > engines {
			v.addViolation(WeightsConverge, v.Now, fmt.Sprint("weights ", n.Weights), "%s", strings.Join(behind, ", "))
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
