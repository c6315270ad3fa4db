package route

import (
	"maps"
	"math"
	"slices"
	"time"
)

// orgState is what a router knows of one organisation's use.
type orgState struct {
	requests bucket
	tokens   bucket
	inFlight int
	offered  meter
	// share is this router's part of the organisation's limits, from 0 to 1.
	share float64
}

// demandWindow is the time over which an organisation's demand is measured.
const demandWindow = time.Second

func (b *Board) orgState(name string) *orgState {
	o, ok := b.orgs[name]
	if !ok {
		o = &orgState{
			requests: newBucket(b.begun), tokens: newBucket(b.begun),
			offered: newMeter(demandWindow), share: 1 / float64(b.routers),
		}
		b.orgs[name] = o
	}
	return o
}

// admitOrg takes a request from its organisation's limits or says why not.
func (b *Board) admitOrg(now time.Time, r *request) *Refusal {
	if r.Org == "" {
		// Routes without keys have no organisation and no limits.
		return nil
	}
	org, ok := b.snap.Org(r.Org)
	if !ok {
		return &Refusal{Cause: CauseLimit, Detail: "the organisation is not configured any more"}
	}
	o := b.orgState(r.Org)
	o.offered.add(now, 1)
	l := org.Limits
	if l.InFlight > 0 && o.inFlight >= part(l.InFlight, o.share) {
		return b.limitRefusal(b.minRetryAfter, "requests in flight")
	}
	if !take(now, &o.requests, l.RequestsPerSecond*o.share, 1) {
		return b.limitRefusal(o.requests.wait(l.RequestsPerSecond*o.share), "requests per second")
	}
	cost := float64(r.promptTokens() + r.MaxTokens)
	if !take(now, &o.tokens, l.TokensPerSecond*o.share, cost) {
		return b.limitRefusal(o.tokens.wait(l.TokensPerSecond*o.share), "tokens per second")
	}
	o.inFlight++
	return nil
}

// part is a router's share of a whole number, at least one.
func part(n int, share float64) int {
	return max(1, int(math.Round(float64(n)*share)))
}

// take charges a bucket; a limit of zero is none. The bucket may go below zero,
// so that a request larger than one second's worth is not refused for ever.
func take(now time.Time, k *bucket, rate, n float64) bool {
	if rate <= 0 {
		return true
	}
	k.refill(now, rate)
	if k.level <= 0 {
		return false
	}
	k.level -= n
	return true
}

// refund gives back the tokens that an answer did not use.
func (b *Board) refund(r *request, u *Usage) {
	o, ok := b.orgs[r.Org]
	if !ok || u == nil || r.Model == nil {
		return
	}
	o.tokens.level += float64(max(0, r.MaxTokens-u.Completion))
}

// defaultMinRetryAfter is the least time a caller is told to stay away unless an option says otherwise.
const defaultMinRetryAfter = time.Second

func (b *Board) limitRefusal(wait time.Duration, what string) *Refusal {
	return &Refusal{Cause: CauseLimit, RetryAfter: max(wait, b.minRetryAfter), Detail: "limit on " + what}
}

// weight returns an organisation's weight in the fair queue.
func (b *Board) weight(org string) float64 {
	if o, ok := b.snap.Org(org); ok {
		return o.Weight
	}
	return 1
}

// PeerState is what a router tells its peers; every list is bounded.
type PeerState struct {
	// Speaks is the number of routers that the state is of; zero stands for one.
	Speaks   int
	Revision int64
	Leaving  []Mark
	Loads    []Load
	Demands  []Demand
	Fills    []Fill
	// Silent are targets that gave no sign of life lately.
	Silent []SilentWord
	// Hot are the parts that prompts are asked about most.
	Hot []PartRate
	// Shared are the hashed ids of parts that were seen to be shared lately.
	Shared []uint64
	// Kept are the prefixes that this router stored last.
	Kept []Kept
	// Holds are the targets that a pool's lease holder is emptying before an order.
	Holds []Mark
	// Loaded are the targets that the lease holder saw with new weights.
	Loaded []WeightsWord
}

// Load is what a router has in flight at a target.
type Load struct {
	Target   Mark
	InFlight int
	Prefill  int
	// Tokens is the memory that the requests take of an engine.
	Tokens int
}

// Demand is the rate at which an organisation calls a router, in requests per second.
type Demand struct {
	Org  string
	Rate float64
}

// Fill says that a target's cache got a prefix, named by a block at the end of a message.
type Fill struct {
	Target Mark
	Block  Block
	// Age is how long ago it was when the message left.
	Age time.Duration
	// Left is how much longer the target takes to read it, as predicted; zero once it is read.
	Left time.Duration
	at   time.Time
}

// The bounds on the lists of a [PeerState].
const (
	maxLoads   = 32
	maxDemands = 32
	maxFills   = 24
	maxMarks   = 64
	fillsKept  = 2 * time.Second
)

func (s PeerState) speaks() int { return max(1, s.Speaks) }

// Join joins the states of several routers into one.
func Join(states []PeerState) PeerState {
	var out PeerState
	loads := make(map[Mark]Load)
	demands := make(map[string]float64)
	leaving := make(map[Mark]bool)
	loaded := make(map[WeightsWord]bool)
	hot := make(map[uint64]float64)
	silent := make(map[Mark]int)
	for _, s := range states {
		out.Shared = append(out.Shared, s.Shared...)
		for _, w := range s.Silent {
			silent[w.Target] += w.Routers
		}
		for _, r := range s.Hot {
			hot[r.Part] += r.Rate
		}
		out.Speaks += s.speaks()
		out.Revision = max(out.Revision, s.Revision)
		for _, l := range s.Loads {
			sum := loads[l.Target]
			loads[l.Target] = Load{l.Target, sum.InFlight + l.InFlight, sum.Prefill + l.Prefill, sum.Tokens + l.Tokens}
		}
		for _, d := range s.Demands {
			demands[d.Org] += d.Rate
		}
		for _, m := range s.Leaving {
			leaving[m] = true
		}
		for _, w := range s.Loaded {
			loaded[w] = true
		}
	}
	out.Loads = slices.Collect(maps.Values(loads))
	out.Leaving = slices.Collect(maps.Keys(leaving))
	out.Loaded = slices.Collect(maps.Keys(loaded))
	for m, n := range silent {
		out.Silent = append(out.Silent, SilentWord{m, n})
	}
	for part, rate := range hot {
		out.Hot = append(out.Hot, PartRate{part, rate})
	}
	for org, rate := range demands {
		out.Demands = append(out.Demands, Demand{org, rate})
	}
	return out
}

// State returns what this router tells its peers.
func (b *Board) State(now time.Time) PeerState {
	s := PeerState{Revision: b.Revision(), Leaving: b.Marks(), Kept: b.newlyKept}
	s.Leaving = s.Leaving[:min(len(s.Leaving), maxMarks)]
	for _, t := range b.targets {
		if len(t.attempts) > 0 && len(s.Loads) < maxLoads {
			s.Loads = append(s.Loads, Load{t.mark(), len(t.attempts), t.prefill, t.tokens})
		}
	}
	for name, o := range b.orgs {
		if rate := o.offered.rate(now); rate > minDemand && len(s.Demands) < maxDemands {
			s.Demands = append(s.Demands, Demand{name, rate})
		}
	}
	s.Silent = b.silentTold(now)
	s.Hot = b.hot.told(now)
	s.Shared = b.shared.told(now)
	b.trimFills(now)
	for _, f := range b.fills[max(0, len(b.fills)-maxFills):] {
		f.Age = now.Sub(f.at)
		s.Fills = append(s.Fills, f)
	}
	return s
}

// minDemand is the rate below which an organisation is not worth telling of.
const minDemand = 0.05

func (b *Board) trimFills(now time.Time) {
	for len(b.fills) > 0 && now.Sub(b.fills[0].at) > fillsKept {
		b.fills = b.fills[1:]
	}
}

// Peers takes the states of the routers heard of lately; routers is how many
// there are, this one included and those not heard of too.
func (b *Board) Peers(now time.Time, states map[string]PeerState, routers int) []Action {
	b.routers = max(1, routers, len(states)+1)
	if b.snap != nil {
		b.crowd.see(now, b.routers, time.Duration(b.snap.Config.Requests.RetryWindow))
	}
	for id, s := range states {
		b.peers[id] = s
	}
	b.forgetPeers(states)
	b.mergeMarks(states)
	b.mergeLoads(now)
	b.mergeFills(now, states)
	b.mergeKept(states)
	b.hot.merge(states)
	b.mergeShared(states)
	b.mergeSilent(now, states)
	b.dropFills(now)
	b.shareLimits(now)
	return b.dispatch(now)
}

// forgetPeers keeps the last word of a peer that fell silent while it may still
// run, so that its part of the limits is not given away.
func (b *Board) forgetPeers(states map[string]PeerState) {
	silent := b.routers - 1
	for _, s := range states {
		silent -= s.speaks()
	}
	for id, s := range b.peers {
		if _, live := states[id]; live {
			continue
		}
		if silent -= s.speaks(); silent < 0 {
			delete(b.peers, id)
			continue
		}
		s.Loads, s.Fills, s.Leaving = nil, nil, nil
		b.peers[id] = s
	}
}

func (b *Board) mergeMarks(states map[string]PeerState) {
	for _, s := range states {
		for _, m := range s.Leaving {
			b.Leaving(m)
		}
	}
}

func (b *Board) mergeLoads(now time.Time) {
	for _, t := range b.targets {
		t.peerInFlight, t.peerPrefill, t.peerTokens, t.peersAt = 0, 0, 0, now
	}
	for _, s := range b.peers {
		for _, l := range s.Loads {
			if t, ok := b.marked(l.Target); ok {
				t.peerInFlight += l.InFlight
				t.peerPrefill += l.Prefill
				t.peerTokens += l.Tokens
			}
		}
	}
}

func (b *Board) mergeFills(now time.Time, states map[string]PeerState) {
	for _, s := range states {
		for _, f := range s.Fills {
			if t, ok := b.marked(f.Target); ok {
				b.believeFill(now, t, f)
			}
		}
	}
}

// shareLimits divides each organisation's limits by the demand at each router.
// Demand is measured and told late, so half of the limits are shared evenly: a
// router that has not been heard of yet is within its part all the same.
func (b *Board) shareLimits(now time.Time) {
	total := make(map[string]float64)
	known := 1
	for _, s := range b.peers {
		known += s.speaks()
		for _, d := range s.Demands {
			total[d.Org] += d.Rate
		}
	}
	even := 1 / float64(b.routers)
	for name, o := range b.orgs {
		own := o.offered.rate(now)
		byDemand := even
		if sum := own + total[name]; sum > 0 {
			byDemand = own / sum
		}
		if known < b.routers {
			byDemand = math.Min(byDemand, even)
		}
		o.share = evenPart*even + (1-evenPart)*byDemand
	}
}

// evenPart is the part of every limit that is shared evenly between routers.
const evenPart = 0.2
