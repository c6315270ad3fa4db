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

// The figures of the faults.
const (
	// lapseTime is after how much silence a target's entry goes: three of its heartbeats.
	lapseTime = 600 * time.Millisecond
	// reuseTime is after how long another service takes the address of a target that is gone.
	reuseTime = 2 * time.Second
	// latePart is the part of orders that are late, leastLate and mostLate by how
	// much; lateEvery is how often that is drawn anew, under the time between two orders.
	latePart  = 0.9
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
	lateEvery = 300 * time.Millisecond
	// greyPart is the part of its requests that a grey target fails.
	greyPart = 0.5
)

// apply carries a step out, and returns once it is over.
func (s *site) apply(ctx context.Context, step Step) {
	nodes := s.allNodes()
	n := nodes[max(0, step.Subject)%len(nodes)]
	sl := s.engineOrPlain(step)
	switch step.Kind {
	case Pause, Kill, Stop:
		if p := n.running(); p != nil {
			s.applyProcess(ctx, step, n, p)
		}
	case HangUp:
		s.must(n.writeSettings(s.seeds()))
		if p := n.running(); p != nil {
			s.note(Trouble{Scope: OfPlan, Kind: HangUp, Subject: n.name})
			n.signal(p, syscall.SIGHUP, false)
		}
	case Join:
		n, err := s.prepareNode()
		if err != nil {
			s.must(err)
			return
		}
		s.note(Trouble{Scope: OfNode, Kind: Join, Subject: n.name})
		s.must(s.startNode(n))
	case StoreFails:
		s.failStore(ctx, step, n)
	case StoreForgets:
		s.note(Trouble{Scope: OfStore, Kind: StoreForgets})
		s.store.Compact()
	case StoreReturns:
		s.note(Trouble{Scope: OfStore, Kind: StoreReturns, Detail: step.Length.String()})
		s.store.RestoreCopy(step.Length)
	case StoreLink:
		s.impair(ctx, step, n.link, n.name)
	case TargetLink:
		s.impair(ctx, step, sl.proxy, "")
	case TargetCrash, TargetAgain, TargetDrain, TargetHide:
		if !s.claim(sl) {
			return
		}
		defer s.release(sl)
		switch step.Kind {
		case TargetCrash:
			s.crash(ctx, step, sl)
		case TargetAgain:
			s.again(ctx, step, sl)
		default:
			s.replace(ctx, step, sl)
		}
	case TargetGrey:
		s.grey(ctx, step, sl)
	case RequestDeadly:
		s.sendDeadly(ctx, step)
	case TargetNamesLimit, TargetSaysLeaving, TargetRests:
		s.needs(ctx, step, sl)
	case OrdersLate:
		s.delayOrders(ctx, step, sl)
	case NameWeights:
		s.must(s.name())
		s.note(Trouble{Scope: OfPlan, Kind: NameWeights, Detail: fmt.Sprint(s.weights)})
	case Reconfigure:
		s.must(s.declare())
		s.note(Trouble{Scope: OfPlan, Kind: Reconfigure, Detail: fmt.Sprint(s.newest())})
	}
}

// engineOrPlain returns the place that a step hits; orders go to engines alone.
func (s *site) engineOrPlain(step Step) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := len(s.slots)
	if step.Kind == OrdersLate {
		most = s.engines
	}
	return s.slots[max(0, step.Subject)%most]
}

// applyProcess pauses, kills or stops a process, which runs again afterwards.
func (s *site) applyProcess(ctx context.Context, step Step, n *node, p *process) {
	defer s.begin(Trouble{Scope: OfNode, Kind: step.Kind, Subject: n.name})()
	switch step.Kind {
	case Pause:
		s.hold(p)
		n.signal(p, syscall.SIGSTOP, false)
		wait(ctx, step.Length)
		if s.last(p) {
			n.signal(p, syscall.SIGCONT, false)
		}
		return
	case Stop:
		n.signal(p, syscall.SIGTERM, true)
		select {
		case <-p.ended:
		case <-time.After(s.bounds.Grace):
			s.note(Trouble{Scope: OfPlan, Kind: Stop, Subject: n.name, Detail: "still there at the end of the grace"})
			n.kill(p)
		}
	default:
		n.kill(p)
	}
	wait(ctx, step.Length)
	s.must(s.startNode(n))
}

// failStore has the store fail at one door or all.
func (s *site) failStore(ctx context.Context, step Step, n *node) {
	subject, hit := n.name, []*node{n}
	if step.Subject == Everyone {
		subject, hit = "", s.allNodes()
	}
	defer s.begin(Trouble{Scope: OfStore, Kind: StoreFails, Subject: subject, Detail: fmt.Sprint(step.Outage)})()
	for _, n := range hit {
		s.hold(n.door)
		n.door.Fail(step.Outage)
	}
	wait(ctx, step.Length)
	for _, n := range hit {
		if s.last(n.door) {
			n.door.Fail(platformtest.Serving)
		}
	}
}

// hold counts a fault that holds what it hits, and last reports at its end whether no
// other does, so that of faults that overlap the last one heals.
func (s *site) hold(what any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[what]++
}

func (s *site) last(what any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[what]--
	return s.held[what] == 0
}

// impair impairs a link. A reset and silence happen at one moment.
func (s *site) impair(ctx context.Context, step Step, p *Proxy, subject string) {
	defer s.begin(Trouble{Scope: OfLink, Kind: step.Kind, Subject: subject, Detail: string(step.Link)})()
	if step.Link == Reset || step.Link == Silence {
		p.Set(step.Link)
		return
	}
	s.hold(p)
	p.Set(step.Link)
	wait(ctx, step.Length)
	if s.last(p) {
		p.Set(Passing)
	}
}

// crash ends a target, whose entry lapses, and starts it again with the weights that it had.
func (s *site) crash(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})()
	s.end(sl, r)
	time.AfterFunc(lapseTime, r.Unlist)
	wait(ctx, step.Length)
	s.must(s.startTarget(sl, s.newID(r.Service), r.Service, r.Weights(), time.Now()))
}

// end ends a target without a word.
func (s *site) end(sl *slot, r *platformtest.Replica) {
	sl.proxy.Close()
	r.Crash()
	s.target(r.ID, func(t *Target) { t.Ended = time.Now() })
}

// skewTime is how far the clock of a target that starts again is off, to one side or the other.
const skewTime = 10 * time.Minute

// again ends a target and starts it again under the id that it had, with its weights and
// nothing else of before. Its entry lapses only if that takes longer than it lasts. The
// clock that its new start is told by may be off to either side.
func (s *site) again(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})()
	s.end(sl, r)
	lapse := time.AfterFunc(lapseTime, r.Unlist)
	wait(ctx, step.Length)
	lapse.Stop()
	skew := skewTime
	if step.At.Milliseconds()%2 == 0 {
		skew = -skew
	}
	s.must(s.startTarget(sl, r.ID, r.Service, r.Weights(), time.Now().Add(skew)))
}

func (s *site) replicaAt(sl *slot) *platformtest.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sl.replica
}

// replace has a new target take a place over. The old one leaves with or without a
// word, and a while later another service takes its address.
func (s *site) replace(ctx context.Context, step Step, old *slot) {
	r := s.replicaAt(old)
	if r.Service == strangeName {
		return
	}
	end := s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})
	defer end()
	fresh, err := s.addTarget(r.Service)
	if err != nil {
		s.must(err)
		return
	}
	s.swap(old, fresh)
	if step.Kind == TargetHide {
		r.Unlist()
	} else {
		s.must(r.Drain())
	}
	s.target(r.ID, func(t *Target) { t.Leaving = time.Now() })
	wait(ctx, s.bounds.Drain+step.Length)
	old.proxy.Close()
	r.Shutdown()
	s.target(r.ID, func(t *Target) { t.Ended = time.Now() })
	wait(ctx, reuseTime)
	s.must(s.startTarget(old, s.newID(strangeName), strangeName, 0, time.Now()))
}

// swap exchanges the places of two targets in the list.
func (s *site) swap(a, b *slot) {
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

// The faults of grey targets. Those that an engine can't have are bytes of a plain answer.
var (
	engineFaults = []platformtest.Fault{platformtest.Shed, platformtest.Failing, platformtest.Dropping, platformtest.Unresponsive, platformtest.Truncating}
	plainFaults  = append([]platformtest.Fault{platformtest.ExtraAnswer, platformtest.Foreign, platformtest.Unframed, platformtest.Garbage}, engineFaults...)
)

// grey has a target fail a part of its requests.
func (s *site) grey(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfTarget, Kind: step.Kind, Subject: r.ID})()
	faults := plainFaults
	if r.Service == engineName {
		faults = engineFaults
	}
	r.SetScript(func(*http.Request) platformtest.Fault {
		if rand.Float64() > greyPart {
			return platformtest.NoFault
		}
		return faults[rand.IntN(len(faults))]
	})
	wait(ctx, step.Length)
	r.SetScript(nil)
}

// delayOrders has a target leave most orders unanswered and carry them out late.
func (s *site) delayOrders(ctx context.Context, step Step, sl *slot) {
	r := s.replicaAt(sl)
	defer s.begin(Trouble{Scope: OfOrders, Kind: step.Kind, Subject: r.ID})()
	defer r.DelayOrders(0)
	rng := rand.New(rand.NewPCG(uint64(step.Length), 0))
	for end := time.Now().Add(step.Length); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, lateEvery) {
		late := time.Duration(0)
		if rng.Float64() < latePart {
			late = leastLate + drawTime(rng, mostLate-leastLate)
		}
		r.DelayOrders(late)
	}
}

// wait waits for a time or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// claim takes a place for a step that ends its target.
func (s *site) claim(sl *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.taken {
		return false
	}
	sl.taken = true
	return true
}

// release ends the claim of a step.
func (s *site) release(sl *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl.taken = false
}
