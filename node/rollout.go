package node

import (
	"context"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// RolloutStatus is the stored state of a pool's roll-out.
type RolloutStatus struct {
	Release string
	// Phase is the trial until the roll-out has ended.
	Phase route.RolloutPhase
	// Revision is the revision of the row in the store, zero if there is no row.
	Revision int64
}

// RolloutRecord stores the states of roll-outs. A write fails with [fleet.ErrConflict] if the row
// is not at the revision in the status.
type RolloutRecord interface {
	RolloutStatus(ctx context.Context, pool string) (RolloutStatus, error)
	RecordRollout(ctx context.Context, pool string, s RolloutStatus) (revision int64, err error)
}

// rolloutInterval is the time between two checks of the roll-outs while there are any.
const rolloutInterval = 250 * time.Millisecond

// rollouts advances the roll-outs of pools for the fleet. One node does so for each roll-out,
// chosen by rendezvous hashing among the nodes that read the store. A second node that considers
// itself chosen does no harm, since each write names the revision that it replaces and a phase is
// never reverted.
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

// assigned returns the roll-outs that this node advances, and whether there are any at all.
func (r *rollouts) assigned() (out []route.RolloutOrder, any bool) {
	n := r.n
	n.Lock()
	known := n.Board().Rollouts(n.now())
	n.Unlock()
	if len(known) == 0 || n.relays.followsRelay() || n.stopping() {
		return nil, len(known) > 0
	}
	members := n.dutyMembers()
	for _, u := range known {
		if _, self := n.dutyOwner(members, uint64(u.Order.Revision)); self {
			out = append(out, u.Order)
		}
	}
	return out, true
}

// dutyMembers returns the nodes that read the store: all of a small fleet, or the relays.
func (n *Node) dutyMembers() []fleet.Member {
	if relays := n.relays.known(); relays != nil {
		return relays
	}
	return n.gossipMembers()
}

// dutyOwner returns the member that rendezvous hashing chooses for a duty, and whether it is this node, which has no
// other one to leave the duty to while it is alone or not yet a member.
func (n *Node) dutyOwner(members []fleet.Member, duty uint64) (owner fleet.Member, self bool) {
	owner, ok := fleet.RendezvousOwner(members, duty)
	return owner, !ok || owner.ID == n.settings().Name
}

// gossipMembers returns the live nodes of a small fleet, including this one.
func (n *Node) gossipMembers() []fleet.Member {
	out := []fleet.Member{{ID: n.settings().Name, Power: n.settings().Power}}
	for _, e := range n.gossip.Live() {
		if !e.Payload.Draining {
			out = append(out, fleet.Member{ID: e.ID, Addr: e.Addr, Epoch: e.Epoch, Power: e.Payload.Power})
		}
	}
	return out
}

// advance advances a roll-out by one step. A bad release takes effect before it is recorded. A good
// one takes effect only after it is recorded, because the old targets are then stopped at once.
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
		r.setPhase(o, recorded.Phase, "it is recorded")
		return nil
	}
	if recorded.Release != o.Release {
		if err := r.record(ctx, o, route.RolloutTrial); err != nil {
			return err
		}
	}
	r.setPhase(o, route.RolloutTrial, "its beginning is recorded")
	order, next, reason := r.nextPhase(o.Pool)
	if order.Revision != o.Revision {
		return nil
	}
	if next != route.RolloutCompleted {
		r.setPhase(o, next, reason)
	}
	if !next.Ended() {
		return nil
	}
	if err := r.record(ctx, o, next); err != nil {
		return err
	}
	r.setPhase(o, next, reason)
	return nil
}

// record writes the state of a roll-out. After an error, including a conflict with another node's
// write, the next round reads the row again.
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

func (r *rollouts) setPhase(o route.RolloutOrder, phase route.RolloutPhase, reason string) {
	r.n.Do(func(b *route.Board, now time.Time) []route.Action {
		b.SetRollout(now, o, phase, reason)
		return nil
	})
}

func (r *rollouts) nextPhase(pool string) (route.RolloutOrder, route.RolloutPhase, string) {
	r.n.Lock()
	defer r.n.Unlock()
	return r.n.Board().NextPhase(r.n.now(), pool)
}
