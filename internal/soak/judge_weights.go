package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// orders checks that orders come from one holder at a time, and that none is undone by an older.
func (j *judge) orders() {
	orders := slices.Clone(j.Orders)
	slices.SortStableFunc(orders, func(a, b platformtest.ReceivedOrder) int { return a.Arrived.Compare(b.Arrived) })
	holders := make(map[int64]string)
	last := make(map[string]platformtest.ReceivedOrder)
	accepted := make(map[string]int64)
	for _, o := range j.Orders {
		if o.Status != http.StatusAccepted {
			continue
		}
		if o.Version <= accepted[o.Replica] {
			j.breach(OneHolder, o.At, o.Replica, "weights %d taken after %d", o.Version, accepted[o.Replica])
		}
		accepted[o.Replica] = o.Version
	}
	for _, o := range orders {
		if !j.quiet(o.Arrived.Add(-j.Bounds.Thaw), o.Arrived, func(t Trouble) bool {
			return !t.Until.IsZero() && !t.Until.After(o.Arrived) && (t.Kind == Pause && t.Subject == o.Holder || t.Scope == OfLink)
		}) {
			continue
		}
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			j.breach(OneHolder, o.Arrived, o.Replica, "%s and %s with fence %d", h, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
		before, ok := last[o.Replica]
		last[o.Replica] = o
		switch {
		case !ok:
		case o.Fence < before.Fence:
			j.breach(OneHolder, o.Arrived, o.Replica, "fence %d of %s after %d of %s", o.Fence, o.Holder, before.Fence, before.Holder)
		case o.Holder != before.Holder && o.Arrived.Sub(before.Arrived) < j.Bounds.Lease:
			j.breach(OneHolder, o.Arrived, o.Replica, "%s %s after %s", o.Holder, o.Arrived.Sub(before.Arrived), before.Holder)
		}
	}
}

// disturbed returns until when a trouble keeps the time of weights from counting: a
// while longer for the store's.
func (j *judge) disturbed(t Trouble) (until time.Time, ok bool) {
	switch t.Scope {
	case OfLink:
		return t.end(j.Now), true
	case OfStore:
		return t.end(j.Now).Add(j.Bounds.Contact), true
	}
	return time.Time{}, false
}

// replaced returns when weights were replaced by newer ones.
func (j *judge) replaced(weights int64) (at time.Time, ok bool) {
	for _, n := range j.Named {
		if n.Weights > weights {
			return n.Acked, true
		}
	}
	return time.Time{}, false
}

// weights checks that no request begins on weights that were replaced a bound ago,
// as far as that time was sound.
func (j *judge) weights() {
	for _, r := range j.Runs {
		a, ok := j.byID[r.ID]
		if !ok || !a.Kind.streams() {
			continue
		}
		from, ok := j.replaced(r.Weights)
		if !ok {
			continue
		}
		acked := from
		for _, t := range j.Troubles {
			if until, ok := j.disturbed(t); ok && !t.From.After(r.StartedAt) && until.After(from) {
				from = until
			}
		}
		if r.StartedAt.Sub(from) > j.Bounds.Weights && j.inTouch(a.Node, a.Sent, r.StartedAt) {
			j.breach(WeightsBegin, r.StartedAt, r.ID, "%s sent it to %s with weights %d, %s after newer ones", a.Node, r.Replica, r.Weights, r.StartedAt.Sub(acked))
		}
	}
}

// stretchLeast is the least sound time in a row that counts for the pool.
const stretchLeast = 2 * time.Second

// sound adds up the stretches between two times in which neither links nor the store had trouble.
func (j *judge) sound(from, to time.Time) time.Duration {
	var total time.Duration
	count := func(until time.Time) {
		if d := until.Sub(from); d >= stretchLeast {
			total += d
		}
	}
	troubles := slices.Clone(j.Troubles)
	slices.SortStableFunc(troubles, func(a, b Trouble) int { return a.From.Compare(b.From) })
	for _, t := range troubles {
		until, ok := j.disturbed(t)
		if !ok || until.Before(from) || t.From.After(to) {
			continue
		}
		count(t.From)
		from = until
	}
	count(to)
	return total
}

// pool checks that the targets get new weights.
func (j *judge) pool() {
	for _, n := range j.Named {
		var behind []string
		engines := 0
		for _, t := range j.Targets {
			if t.Service != engineName || !t.Ended.IsZero() || !t.Leaving.IsZero() {
				continue
			}
			engines++
			if t.Weights < n.Weights && j.sound(latest(n.Acked, t.Begun), j.Now) > j.Bounds.AllWeights {
				behind = append(behind, fmt.Sprintf("%s has %d", t.ID, t.Weights))
			}
		}
		if len(behind) > 1 && 10*len(behind) > engines {
			j.breach(WeightsAll, j.Now, fmt.Sprint("weights ", n.Weights), "%s", strings.Join(behind, ", "))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
