package node

import (
	"context"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// RolloutStatus is what the store records of a pool's roll-out.
type RolloutStatus struct {
	Release string
	// Phase is the trial for as long as the roll-out has not ended.
	Phase route.RolloutPhase
	// Revision is the row's position in the store, zero where there is no row.
	Revision int64
}

// RolloutRecord is where an installation keeps the states of roll-outs. A write fails with
// [fleet.ErrConflict] where the row is not at the revision that the status names.
type RolloutRecord interface {
	RolloutStatus(ctx context.Context, pool string) (RolloutStatus, error)
	RecordRollout(ctx context.Context, pool string, s RolloutStatus) (revision int64, err error)
}

// rolloutInterval is the time between two looks at the roll-outs that this node advances, while there are some.
const rolloutInterval = 250 * time.Millisecond

// rollouts advances the pools' roll-outs for the fleet. One node does so for each roll-out,
// chosen by rendezvous among those that read the store; a second one that believes to be it
// does no harm, since each write names the revision of the row that it replaces and a phase
// is never taken back.
type rollouts struct {
	n *Node
	// recorded are the rows as this node last read or wrote them.
	recorded map[string]RolloutStatus
}

// loop advances roll-outs until ctx ends.
func (r *rollouts) loop(ctx context.Context) {
	every := rolloutInterval
	for pause(ctx, every) {
		mine, some := r.assigned()
		if every = rolloutInterval; !some {
			every = idleInterval
		}
		for _, o := range mine {
			if err := r.advance(ctx, o); err != nil && ctx.Err() == nil {
				delete(r.recorded, o.Pool)
				r.n.events.Record(event.Event{Code: event.RolloutUnsaved, Detail: o.Pool + ": " + err.Error()})
			}
		}
	}
}

// assigned returns the orders of the roll-outs that this node advances, and whether there are any at all.
func (r *rollouts) assigned() (out []route.RolloutOrder, some bool) {
	n := r.n
	n.Lock()
	known := n.Board().Rollouts(n.now())
	n.Unlock()
	if len(known) == 0 || n.relays.followsRelay() || n.stopping.Load() {
		return nil, len(known) > 0
	}
	members := n.relays.known()
	if members == nil {
		members = n.gossipMembers()
	}
	for _, u := range known {
		// A process alone, or one that is no member yet, has nobody to leave it to.
		if home, ok := fleet.RendezvousOwner(members, uint64(u.Order.Revision)); !ok || home.ID == n.settings().Name {
			out = append(out, u.Order)
		}
	}
	return out, true
}

// gossipMembers returns the nodes of a small fleet that are heard, this one included.
func (n *Node) gossipMembers() []fleet.Member {
	out := []fleet.Member{{ID: n.settings().Name, Power: n.settings().Power}}
	for _, e := range n.gossip.Live() {
		if !e.Payload.Draining {
			out = append(out, fleet.Member{ID: e.ID, Power: e.Payload.Power})
		}
	}
	return out
}

// advance takes a roll-out one step on. That a release is bad takes effect before it is
// recorded, that it is good only once it is: the old targets are stopped at once then.
func (r *rollouts) advance(ctx context.Context, o route.RolloutOrder) error {
	recorded, known := r.recorded[o.Pool]
	if !known {
		var err error
		if recorded, err = r.n.store.RolloutStatus(ctx, o.Pool); err != nil {
			return err
		}
		r.recorded[o.Pool] = recorded
	}
	if recorded.Release == o.Release && recorded.Phase.Ended() {
		r.set(o, recorded.Phase, "it is recorded")
		return nil
	}
	if recorded.Release != o.Release {
		if err := r.record(ctx, o, route.RolloutTrial); err != nil {
			return err
		}
	}
	r.set(o, route.RolloutTrial, "its beginning is recorded")
	order, next, why := r.next(o.Pool)
	if order.Revision != o.Revision {
		return nil
	}
	if next != route.RolloutCompleted {
		r.set(o, next, why)
	}
	if !next.Ended() {
		return nil
	}
	if err := r.record(ctx, o, next); err != nil {
		return err
	}
	r.set(o, next, why)
	return nil
}

// record writes the state of a roll-out. After an error, also a conflict with another node's
// write, the row is read anew at the next look.
func (r *rollouts) record(ctx context.Context, o route.RolloutOrder, phase route.RolloutPhase) error {
	s := RolloutStatus{Release: o.Release, Phase: phase, Revision: r.recorded[o.Pool].Revision}
	revision, err := r.n.store.RecordRollout(ctx, o.Pool, s)
	if err != nil {
		return err
	}
	s.Revision = revision
	r.recorded[o.Pool] = s
	return nil
}

func (r *rollouts) set(o route.RolloutOrder, phase route.RolloutPhase, why string) {
	r.n.Do(func(b *route.Board, now time.Time) []route.Action {
		b.SetRollout(now, o, phase, why)
		return nil
	})
}

func (r *rollouts) next(pool string) (route.RolloutOrder, route.RolloutPhase, string) {
	r.n.Lock()
	defer r.n.Unlock()
	return r.n.Board().NextPhase(r.n.now(), pool)
}
