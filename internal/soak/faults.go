package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The parameters of the faults.
const (
	// entryTTL is the time after a target's last heartbeat until its entry expires: three
	// heartbeat intervals.
	entryTTL = 600 * time.Millisecond
	// addressReuseDelay is the time until another service starts at the address of a target
	// that has ended.
	addressReuseDelay = 2 * time.Second
	// delayedOrderFraction is the fraction of orders that are delayed, minOrderDelay and
	// maxOrderDelay bound the delay. The delay is redrawn every orderDelayInterval, which is
	// shorter than the time between two orders.
	delayedOrderFraction = 0.9
	minOrderDelay        = 2 * time.Second
	maxOrderDelay        = 12 * time.Second
	orderDelayInterval   = 300 * time.Millisecond
	// greyFailureFraction is the fraction of its requests that a target with a grey failure
	// fails.
	greyFailureFraction = 0.5
)

// apply executes a step and returns once it is over.
func (s *cluster) apply(ctx context.Context, step Step) {
	nodes := s.allNodes()
	n := nodes[max(0, step.Subject)%len(nodes)]
	sl := s.affectedSlot(step)
	switch step.Kind {
	case Pause, Kill, Stop:
		if p := n.running(); p != nil {
			s.applyProcess(ctx, step, n, p)
		}
	case ReloadSettings:
		s.recordError(n.writeSettings(s.seeds()))
		if p := n.running(); p != nil {
			s.recordFault(InjectedFault{Scope: ScopePlanned, Kind: ReloadSettings, Subject: n.name})
			n.signal(p, syscall.SIGHUP, false)
		}
	case AddNode:
		n, err := s.prepareNode()
		if err != nil {
			s.recordError(err)
			return
		}
		s.recordFault(InjectedFault{Scope: ScopeNode, Kind: AddNode, Subject: n.name})
		s.recordError(s.startNode(n))
	case StoreFails:
		s.failStore(ctx, step, n)
	case StoreForgets:
		s.recordFault(InjectedFault{Scope: ScopeStore, Kind: StoreForgets})
		s.store.Compact()
	case StoreRollback:
		s.recordFault(InjectedFault{Scope: ScopeStore, Kind: StoreRollback, Detail: step.Length.String()})
		s.store.RestoreCopy(step.Length)
	case StoreLink:
		s.impairLink(ctx, step, n.link, n.name)
	case TargetLink:
		s.impairLink(ctx, step, sl.proxy, "")
	case NodeCutOff:
		s.cutOff(ctx, step, n)
	case TargetCrash, TargetRestart, TargetDrain, TargetUnlist, TargetRelease:
		if !s.claim(sl) {
			return
		}
		defer s.release(sl)
		switch step.Kind {
		case TargetCrash:
			s.crashTarget(ctx, step, sl)
		case TargetRestart:
			s.restartTarget(ctx, step, sl)
		default:
			s.replaceTarget(ctx, step, sl)
		}
	case TargetGrey:
		s.failPartially(ctx, step, sl)
	case SuspectRequest:
		s.sendSuspectCopies(ctx, step)
	case TargetHintsLimit, TargetHintsDraining, TargetHintsBackoff:
		s.sendHints(ctx, step, sl)
	case OrdersLate:
		s.delayOrders(ctx, step, sl)
	case AnnounceWeights:
		s.recordError(s.announceWeights())
		s.recordFault(InjectedFault{Scope: ScopePlanned, Kind: AnnounceWeights, Detail: fmt.Sprint(s.weights)})
	case Reconfigure:
		s.recordError(s.writeConfig())
		s.recordFault(InjectedFault{Scope: ScopePlanned, Kind: Reconfigure, Detail: fmt.Sprint(s.newestVersion())})
	}
}

// affectedSlot returns the slot that a step affects. Only engines receive orders and change their release.
func (s *cluster) affectedSlot(step Step) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := len(s.slots)
	if step.Kind == OrdersLate || step.Kind == TargetRelease {
		most = s.engines
	}
	return s.slots[max(0, step.Subject)%most]
}

// applyProcess pauses, kills or stops a node's process, and resumes or restarts it after the
// step's length.
func (s *cluster) applyProcess(ctx context.Context, step Step, n *node, p *process) {
	defer s.beginFault(InjectedFault{Scope: ScopeNode, Kind: step.Kind, Subject: n.name})()
	switch step.Kind {
	case Pause:
		s.addImpairment(p)
		n.signal(p, syscall.SIGSTOP, false)
		wait(ctx, step.Length)
		if s.removeImpairment(p) {
			n.signal(p, syscall.SIGCONT, false)
		}
		return
	case Stop:
		n.signal(p, syscall.SIGTERM, true)
		select {
		case <-p.ended:
		case <-time.After(s.bounds.Grace):
			s.recordFault(InjectedFault{Scope: ScopePlanned, Kind: Stop, Subject: n.name, Detail: "still running at the end of the grace period"})
			n.kill(p)
		}
	default:
		n.kill(p)
	}
	wait(ctx, step.Length)
	s.recordError(s.startNode(n))
}

// failStore makes the store fail for one node or for all nodes.
func (s *cluster) failStore(ctx context.Context, step Step, n *node) {
	subject, hit := n.name, []*node{n}
	if step.Subject == AllNodes {
		subject, hit = "", s.allNodes()
	}
	defer s.beginFault(InjectedFault{Scope: ScopeStore, Kind: StoreFails, Subject: subject, Detail: fmt.Sprint(step.Outage)})()
	for _, n := range hit {
		s.addImpairment(n.door)
		n.door.Fail(step.Outage)
	}
	wait(ctx, step.Length)
	for _, n := range hit {
		if s.removeImpairment(n.door) {
			n.door.Fail(platformtest.Serving)
		}
	}
}

// addImpairment counts a fault that affects an object: a node's store door, a link or a process. Faults
// may overlap, and only the end of the last one restores the object.
func (s *cluster) addImpairment(what any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.impairments[what]++
}

// removeImpairment counts the end of a fault, and reports whether the object has no other one.
func (s *cluster) removeImpairment(what any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.impairments[what]--
	return s.impairments[what] == 0
}

// impairLink puts a link in a state for the step's length. Reset and Stall are instantaneous.
func (s *cluster) impairLink(ctx context.Context, step Step, p *Proxy, subject string) {
	defer s.beginFault(InjectedFault{Scope: ScopeLink, Kind: step.Kind, Subject: subject, Detail: string(step.Link)})()
	if step.Link == Reset || step.Link == Stall {
		p.SetState(step.Link)
		return
	}
	s.addImpairment(p)
	p.SetState(step.Link)
	wait(ctx, step.Length)
	if s.removeImpairment(p) {
		p.SetState(Passing)
	}
}

// crashTarget ends a target, whose entry then expires, and starts one with the same weights
// and a new id in its slot.
func (s *cluster) crashTarget(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.beginFault(InjectedFault{Scope: ScopeTarget, Kind: step.Kind, Subject: r.ID})()
	s.endTarget(sl, r)
	time.AfterFunc(entryTTL, r.Unlist)
	wait(ctx, step.Length)
	s.recordError(s.startTarget(sl, s.newID(r.Service), r.Service, r.Weights(), time.Now()))
}

// endTarget ends a target abruptly, without a drain.
func (s *cluster) endTarget(sl *slot, r *platformtest.Replica) {
	sl.proxy.Close()
	r.Crash()
	s.updateTarget(r.ID, func(t *Target) { t.Ended = time.Now() })
}

// clockSkew is the error of the clock of a restarted target, which may be ahead or behind.
const clockSkew = 10 * time.Minute

// restartTarget ends a target and starts it again under the same id. The target keeps its
// weights and no other state. Its entry expires only if the restart takes longer than
// entryTTL. The start time that the new incarnation reports may be clockSkew ahead or behind.
func (s *cluster) restartTarget(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.beginFault(InjectedFault{Scope: ScopeTarget, Kind: step.Kind, Subject: r.ID})()
	s.endTarget(sl, r)
	expiry := time.AfterFunc(entryTTL, r.Unlist)
	wait(ctx, step.Length)
	expiry.Stop()
	skew := clockSkew
	if step.At.Milliseconds()%2 == 0 {
		skew = -skew
	}
	s.recordError(s.startTarget(sl, r.ID, r.Service, r.Weights(), time.Now().Add(skew)))
}

func (s *cluster) replicaAt(sl *slot) *platformtest.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sl.replica
}

// replaceTarget starts a new target, of the same release unless the step changes it, that takes over a slot. The old target drains, or is
// removed from the list without a drain, and after its end another service starts at its
// address.
func (s *cluster) replaceTarget(ctx context.Context, step Step, oldSlot *slot) {
	r := s.replicaAt(oldSlot)
	if r.Service == foreignName {
		return
	}
	end := s.beginFault(InjectedFault{Scope: ScopeTarget, Kind: step.Kind, Subject: r.ID})
	defer end()
	release := oldSlot.release
	if step.Kind == TargetRelease {
		release = otherRelease(release)
	}
	replacement, err := s.addTarget(r.Service, release)
	if err != nil {
		s.recordError(err)
		return
	}
	s.swapSlots(oldSlot, replacement)
	if step.Kind == TargetUnlist {
		r.Unlist()
	} else {
		s.recordError(r.Drain())
	}
	s.updateTarget(r.ID, func(t *Target) { t.DrainingSince = time.Now() })
	wait(ctx, s.bounds.Drain+step.Length)
	oldSlot.proxy.Close()
	r.Shutdown()
	s.updateTarget(r.ID, func(t *Target) { t.Ended = time.Now() })
	wait(ctx, addressReuseDelay)
	s.recordError(s.startTarget(oldSlot, s.newID(foreignName), foreignName, 0, time.Now()))
}

// otherRelease returns the other one of the two releases.
func otherRelease(release string) string {
	if release == firstRelease {
		return secondRelease
	}
	return firstRelease
}

// swapSlots exchanges the positions of two slots in the list.
func (s *cluster) swapSlots(a, b *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, sl := range s.slots {
		switch sl {
		case a:
			s.slots[i] = b
		case b:
			s.slots[i] = a
		}
	}
}

// engineFaults and plainFaults are the faults of targets with a grey failure. The faults that
// only plain targets have are malformed bytes in a plain answer.
var (
	engineFaults = []platformtest.Fault{platformtest.Shed, platformtest.Failing, platformtest.Dropping, platformtest.Unresponsive, platformtest.Truncating}
	plainFaults  = append([]platformtest.Fault{platformtest.ExtraAnswer, platformtest.Foreign, platformtest.Unframed, platformtest.Garbage}, engineFaults...)
)

// failPartially makes a target fail a fraction of its requests.
func (s *cluster) failPartially(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.beginFault(InjectedFault{Scope: ScopeTarget, Kind: step.Kind, Subject: r.ID})()
	faults := plainFaults
	if r.Service == engineName {
		faults = engineFaults
	}
	r.SetScript(func(*http.Request) platformtest.Fault {
		if rand.Float64() > greyFailureFraction {
			return platformtest.NoFault
		}
		return faults[rand.IntN(len(faults))]
	})
	wait(ctx, step.Length)
	r.SetScript(nil)
}

// delayOrders makes a target leave most orders unanswered and execute them late.
func (s *cluster) delayOrders(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.beginFault(InjectedFault{Scope: ScopeOrders, Kind: step.Kind, Subject: r.ID})()
	defer r.DelayOrders(0)
	rng := rand.New(rand.NewPCG(uint64(step.Length), 0))
	for end := time.Now().Add(step.Length); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, orderDelayInterval) {
		delay := time.Duration(0)
		if rng.Float64() < delayedOrderFraction {
			delay = minOrderDelay + randomDuration(rng, maxOrderDelay-minOrderDelay)
		}
		r.DelayOrders(delay)
	}
}

// wait blocks for a duration or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// claim reserves a slot for a step that ends its target. It reports false if another step holds it.
func (s *cluster) claim(sl *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.claimed {
		return false
	}
	sl.claimed = true
	return true
}

// release ends a step's claim of a slot.
func (s *cluster) release(sl *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl.claimed = false
}
