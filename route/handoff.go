package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// A router that is cut off from the targets of a pool hands its requests over to another router,
// which places and sends them. docs/design/handoff.md describes the design.

// Constants of recognizing that a pool is cut off.
const (
	// minDarkTargets is how many targets of a pool must have failed in a row, or all of a smaller
	// pool.
	minDarkTargets = 3
	// darkWindow is the time over which these failures count together.
	darkWindow = 4 * time.Second
	// darkConfirmTime is how long no target must have answered then, unless all have failed: several
	// targets may crash together, and another one answers within that time.
	darkConfirmTime = 300 * time.Millisecond
	// linkProbeInterval is the interval at which the targets of a pool that is cut off are probed. It
	// doubles up to maxLinkProbeInterval each time that the pool is cut off again within
	// relapseWindow, since targets may accept connections and yet not answer.
	linkProbeInterval    = 500 * time.Millisecond
	maxLinkProbeInterval = 4 * time.Second
	relapseWindow        = 10 * time.Second
	// maxCutOffPools bounds the pools that a router reports to be cut off from.
	maxCutOffPools = 16
)

// Constants of handing over requests.
const (
	// maxHandoffs is how often a request may be handed over, to another router each time.
	maxHandoffs = 3
	// handoffAvoidTime is how long a router that did not take a request is asked for nothing.
	handoffAvoidTime = time.Second
	// maxOwnZoneHandoffs is the number of requests handed over to a router in the same failure
	// domain from which on those in others are used as well.
	maxOwnZoneHandoffs = 16
	// handoffChoices is the number of random routers of which the one with the fewest requests from
	// this router is chosen.
	handoffChoices = 2
)

// HandoffPeer is a router that takes requests from others.
type HandoffPeer struct {
	// Addr is the address at which it takes them.
	Addr netip.AddrPort
	// Zone is its failure domain.
	Zone string
	// CutOff are the pools that it does not reach itself.
	CutOff []string
}

// HandoffRefusal is the answer of a router that did not complete a request handed over to it.
type HandoffRefusal struct {
	Cause      Cause
	Verdict    Verdict
	RetryAfter time.Duration
	// Tries is the number of targets that the request was sent to.
	Tries int
}

// concernsRouter reports whether the cause of a refusal lies in the router that refused, so that
// another one may take the request.
func (c Cause) concernsRouter() bool {
	switch c {
	case CauseNoTarget, CauseStopping, CauseFenced, CauseChanged, CauseStore, CauseMemory:
		return true
	case CauseOverload, CauseLimit, CauseDeadline, CauseRetries, CauseBroken, CauseClaimed, CauseCrashes:
		return false
	}
	panic("route: unknown cause")
}

// handoffs is a router's state of handing over requests.
type handoffs struct {
	peers []HandoffPeer
	// avoided holds until when routers that did not take a request are asked for nothing, inFlight
	// the number of requests that each has from this router.
	avoided  map[netip.AddrPort]time.Time
	inFlight map[netip.AddrPort]int
}

func newHandoffs() handoffs {
	return handoffs{avoided: make(map[netip.AddrPort]time.Time), inFlight: make(map[netip.AddrPort]int)}
}

// poolLink is what a router observes of its path to the targets of a pool.
type poolLink struct {
	// dark holds, for each target that last failed without any response, the time from which on it
	// did not respond. A target is removed once an attempt that was sent later is answered by any
	// target of the pool.
	dark map[netip.AddrPort]time.Time
	// answeredSent is when the newest of the answered attempts was sent.
	answeredSent time.Time
	// cutAt is since when the pool is cut off; it is zero if it is not.
	cutAt, restoredAt time.Time
	// probeEvery is the interval of probes, and probedAt when the last one was requested.
	probeEvery time.Duration
	probedAt   time.Time
}

// SetHandoffPeers replaces the routers to which requests can be handed over.
func (b *Board) SetHandoffPeers(now time.Time, peers []HandoffPeer) {
	b.handoffs.peers = peers
	for addr, until := range b.handoffs.avoided {
		if !now.Before(until) {
			delete(b.handoffs.avoided, addr)
		}
	}
}

// detach records that a router has one request less from this one.
func (h *handoffs) detach(peer netip.AddrPort) {
	if h.inFlight[peer]--; h.inFlight[peer] <= 0 {
		delete(h.inFlight, peer)
	}
}

// observeLink records what the end of an attempt shows of the path to its target.
func (b *Board) observeLink(now time.Time, a *attempt, o Outcome) {
	switch {
	case o.Kind == OutcomeDone, o.Kind == OutcomeRefused, o.Kind == OutcomeMismatch, o.TargetError:
		b.targetAnswered(now, a.target, a.sent)
	case a.cancelled, o.Local:
	case o.Silent:
		b.targetDark(now, a.target, later(a.sent, a.progress))
	case o.Closed:
		b.targetDark(now, a.target, now)
	}
}

// targetDark records that a target has not responded since the given time.
func (b *Board) targetDark(now time.Time, t *target, since time.Time) {
	for _, p := range t.pools {
		l := &p.link
		if !since.After(l.answeredSent) {
			continue
		}
		for addr, at := range l.dark {
			if l.cutAt.IsZero() && now.Sub(at) > darkWindow {
				delete(l.dark, addr)
			}
		}
		if l.dark == nil {
			l.dark = make(map[netip.AddrPort]time.Time)
		}
		l.dark[t.addr] = since
	}
}

// targetAnswered records that a target answered an attempt that was sent at the given time. That
// earlier attempts at other targets failed is then no sign that the path to all of them is cut.
func (b *Board) targetAnswered(now time.Time, t *target, sent time.Time) {
	for _, p := range t.pools {
		l := &p.link
		l.answeredSent = later(l.answeredSent, sent)
		was := l.dark
		for addr, at := range was {
			if !at.After(l.answeredSent) {
				delete(l.dark, addr)
				if !l.cutAt.IsZero() {
					b.forgiveDark(addr, l.cutAt)
				}
			}
		}
		b.updateLink(now, p)
	}
}

// forgiveDark makes a target usable again that was marked as failing while the path was cut.
func (b *Board) forgiveDark(addr netip.AddrPort, cutAt time.Time) {
	t, ok := b.targets[addr]
	if !ok || later(t.suspectedAt, t.endedAt).Before(cutAt.Add(-darkWindow)) {
		return
	}
	t.unresponsiveAt, t.endedAt = time.Time{}, time.Time{}
	b.recordRecovery(t)
}

// mayGetWork reports whether the list says that the target takes new work.
func (t *target) mayGetWork() bool { return t.listed && !t.draining && !t.listedDraining }

// unreachable reports whether no target of the pool responds to this router: all failed in a row or are
// marked as failing, or as many as needed failed and for a while no other answered.
func (p *pool) unreachable(now time.Time) bool {
	members, dark, failing := 0, 0, true
	first := now
	for _, t := range p.members {
		if !t.mayGetWork() {
			continue
		}
		members++
		failing = failing && t.failing
		if since, ok := p.link.dark[t.addr]; ok {
			dark++
			if since.Before(first) {
				first = since
			}
		}
		if len(p.link.dark) == 0 && !failing {
			return false
		}
	}
	confirmed := !p.link.cutAt.IsZero() || now.Sub(first) >= darkConfirmTime
	return members > 0 && (failing || dark == members || dark >= minDarkTargets && confirmed)
}

// cutOffFrom reports whether this router is cut off from a pool of the target.
func (b *Board) cutOffFrom(now time.Time, t *target) bool {
	return slices.ContainsFunc(t.pools, func(p *pool) bool { return b.cutOff(now, p) })
}

// updateLink records whether the pool is cut off: it is unreachable for this router while another
// one reaches it.
func (b *Board) updateLink(now time.Time, p *pool) {
	l := &p.link
	cut := p.unreachable(now) && b.reachedByPeers(p)
	switch {
	case cut && l.cutAt.IsZero():
		l.cutAt = now
		if l.probeEvery == 0 || now.Sub(l.restoredAt) > relapseWindow {
			l.probeEvery = linkProbeInterval
		} else {
			l.probeEvery = min(2*l.probeEvery, maxLinkProbeInterval)
		}
		b.emit(event.Event{Code: event.PoolCutOff, Detail: fmt.Sprintf("pool %s: %d targets in a row did not respond, others reach it", p.compiled.Name, len(l.dark))})
	case !cut && !l.cutAt.IsZero():
		b.emit(event.Event{Code: event.PoolReached, Detail: fmt.Sprintf("pool %s, after %s", p.compiled.Name, now.Sub(l.cutAt).Round(time.Millisecond))})
		l.cutAt, l.restoredAt = time.Time{}, now
	}
}

// cutOff reports whether this router is cut off from the targets of the pool.
func (b *Board) cutOff(now time.Time, p *pool) bool {
	if b.disabled.Has(HandingOver) {
		return false
	}
	b.updateLink(now, p)
	return !p.link.cutAt.IsZero()
}

// PoolsCutOff returns the number of pools from which this router is cut off.
func (b *Board) PoolsCutOff() (count int) {
	for _, p := range b.pools {
		if !p.link.cutAt.IsZero() {
			count++
		}
	}
	return count
}

// reachedByPeers reports whether another router that takes requests reaches the pool.
func (b *Board) reachedByPeers(p *pool) bool {
	return slices.ContainsFunc(b.handoffs.peers, func(h HandoffPeer) bool { return h.reaches(p) })
}

func (h HandoffPeer) reaches(p *pool) bool { return !slices.Contains(h.CutOff, p.compiled.Name) }

// unreachablePools returns the pools of which no target responds to this router, for its peers.
func (b *Board) unreachablePools(now time.Time) []string {
	var out []string
	for name, p := range b.pools {
		if p.unreachable(now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxCutOffPools)]
}

// LinkProbes returns the targets to probe now in order to learn whether pools that are cut off are
// reached again.
func (b *Board) LinkProbes(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range b.pools {
		l := &p.link
		if l.cutAt.IsZero() || now.Sub(later(l.probedAt, l.cutAt)) < l.probeEvery {
			continue
		}
		l.probedAt = now
		var eligible []netip.AddrPort
		for _, t := range p.members {
			if _, dark := l.dark[t.addr]; t.mayGetWork() && (dark || t.failing) {
				eligible = append(eligible, t.addr)
			}
		}
		if len(eligible) > 0 {
			out = append(out, eligible[b.rng.IntN(len(eligible))])
		}
	}
	return out
}

// handOver hands the queued requests of a pool that is cut off over to other routers.
func (b *Board) handOver(now time.Time, p *pool) []Action {
	var out []Action
	for _, o := range p.queue.next() {
		for _, r := range slices.Clone(o.items) {
			if now.Before(r.notBefore) || !r.mayBeHandedOver() || !b.pinAtPlacing(now, p, r) {
				continue
			}
			peer, ok := b.chooseHandoffPeer(now, p)
			switch {
			case ok:
				out = append(out, b.sendToPeer(now, p, r, peer))
			case r.handoffs > 0:
				out = append(out, b.refuse(now, r, CauseNoTarget, "cut off from the targets, and no other node took the request")...)
			}
		}
	}
	return out
}

// mayBeHandedOver reports whether the request may go to another router. One that came from another
// router may not, so that no request goes around.
func (r *request) mayBeHandedOver() bool {
	return !r.HandedOver && r.handoffs < maxHandoffs && r.parked == "" && (!r.delivered || r.Resumable)
}

// chooseHandoffPeer chooses a router that reaches the pool, preferably in the same failure domain.
func (b *Board) chooseHandoffPeer(now time.Time, p *pool) (netip.AddrPort, bool) {
	var near, all []netip.AddrPort
	for _, h := range b.handoffs.peers {
		if !h.reaches(p) || now.Before(b.handoffs.avoided[h.Addr]) {
			continue
		}
		all = append(all, h.Addr)
		if h.Zone == b.zone && b.handoffs.inFlight[h.Addr] < maxOwnZoneHandoffs {
			near = append(near, h.Addr)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	return b.leastHandedOver(all), true
}

// leastHandedOver returns the one of a few random routers that has the fewest requests from this one.
func (b *Board) leastHandedOver(peers []netip.AddrPort) netip.AddrPort {
	best := peers[b.rng.IntN(len(peers))]
	for range handoffChoices - 1 {
		if other := randomOf(b.rng, peers); b.handoffs.inFlight[other] < b.handoffs.inFlight[best] {
			best = other
		}
	}
	return best
}

func randomOf[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// sendToPeer creates an attempt that hands a queued request over. Its target stands for the other
// router and is not on the board, so that nothing that is learned from the attempt concerns a target.
func (b *Board) sendToPeer(now time.Time, p *pool, r *request, peer netip.AddrPort) Send {
	p.queue.remove(r)
	p.queue.charge(r, b.weight(r.Org))
	r.handoffs++
	// The attempt itself reaches no target; newAttempt counts it until it ends.
	tries, sent := r.handoffTries(), r.countedSends() > 0
	a := &attempt{target: &target{addr: peer}, sent: now, progress: now}
	a.Attempt = Attempt{
		ID: r.newAttempt(), Request: r.ID, Target: peer, Via: peer, Resume: r.delivered, Number: r.tries,
		Reason: "handed over", Tries: tries, Waited: now.Sub(r.arrived), Sent: sent,
		Pin: r.Pin,
	}
	r.attempt = a
	b.handoffs.inFlight[peer]++
	b.emit(event.Event{
		Code: event.RequestHandedOver, Request: r.ID, Attempt: a.ID, Org: r.Org, Target: peer.String(), Revision: b.snap.Revision,
	})
	return Send{Attempt: a.Attempt}
}

// countedSends returns the number of targets that received the request so far, by this router and by
// those that it was handed over to.
func (r *request) countedSends() int { return r.tries - r.unsent - r.resent + r.peerTries }

// handoffTries returns how many targets the next router may send the request to. One of several is
// kept back in case that router ends midway.
func (r *request) handoffTries() int {
	left := r.maxAllowedTries() - r.countedSends()
	return max(1, left-1)
}

// handoffEnded records the end of an attempt that handed a request over.
func (b *Board) handoffEnded(now time.Time, r *request, a *attempt, o Outcome) []Action {
	b.detachAttempt(now, r, a)
	r.delivered = r.delivered || o.Delivered
	r.unsent++ // The attempt itself reached no target.
	switch {
	case o.Kind == OutcomeDone:
		if !o.TargetError {
			b.recordCompleted(now, r, a)
		}
		b.removeRequest(r)
		b.emit(event.Event{Code: event.RequestAnswered, Request: r.ID, Attempt: a.ID, Org: r.Org, Target: a.target.name(), Detail: "handed over"})
		return []Action{Finish{Request: r.ID}}
	case o.Local:
		return b.endLocally(now, r, a, o)
	}
	b.emit(event.Event{Code: event.AttemptBroken, Request: r.ID, Attempt: a.ID, Target: a.target.name(), Detail: "handed over, " + o.Kind.String() + ": " + o.Detail})
	tries, cause := a.Tries, CauseNoTarget
	switch refusal := o.Handoff; {
	case refusal != nil:
		tries, cause = refusal.Tries, refusal.Cause
		r.verdict = max(r.verdict, refusal.Verdict)
	case o.Kind == OutcomeUnsent:
		tries = 0
	default:
		r.verdict = max(r.verdict, MayHaveRun)
	}
	r.peerTries += tries
	if cause.concernsRouter() {
		b.handoffs.avoided[a.Via] = now.Add(handoffAvoidTime)
	}
	return b.retryHandoff(now, r, a, o, cause, tries)
}

// retryHandoff queues a request again that another router did not complete, or refuses it.
func (b *Board) retryHandoff(now time.Time, r *request, a *attempt, o Outcome, cause Cause, tries int) []Action {
	why, detail, final := b.finalFailure(now, r, o)
	switch {
	case final:
		return b.refuse(now, r, why, detail)
	case !cause.concernsRouter():
		return b.refuseAsPeer(now, r, cause, o)
	case r.countedSends() >= r.maxAllowedTries() || b.disabled.Has(Retrying):
		return b.refuse(now, r, CauseRetries, "tried too often; "+o.Detail)
	case tries > 0 && !r.retryPaid && !b.spendRetry(now, &b.pools[r.Pool].retries):
		return b.refuse(now, r, CauseRetries, "the pool's retry budget is used up; "+o.Detail)
	case r.handoffs >= maxHandoffs:
		return b.refuse(now, r, CauseNoTarget, "cut off from the targets, and no other node took the request; "+o.Detail)
	}
	code := event.RequestRetried
	if r.delivered {
		code = event.RequestResumed
	}
	b.emit(event.Event{Code: code, Request: r.ID, Attempt: a.ID, Org: r.Org})
	r.retryPaid = false
	r.queueDeadline = b.retryQueueDeadline(now, r)
	b.enqueue(now, r)
	return nil
}

// refuseAsPeer refuses a request for the reason that the other router stated.
func (b *Board) refuseAsPeer(now time.Time, r *request, cause Cause, o Outcome) []Action {
	out := b.refuse(now, r, cause, o.Detail)
	if refusal, ok := out[0].(Refuse); ok && o.Handoff.RetryAfter > 0 {
		refusal.Refusal.RetryAfter = o.Handoff.RetryAfter
		out[0] = refusal
	}
	return out
}

// cutOffRefusal returns a refusal of a request from another router if this one is cut off too.
func (b *Board) cutOffRefusal(now time.Time, p *pool, r *request) *Refusal {
	if !r.HandedOver || !p.unreachable(now) {
		return nil
	}
	return &Refusal{Cause: CauseNoTarget, RetryAfter: b.minRetryAfter, Detail: "this node is cut off from the targets as well"}
}
