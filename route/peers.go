package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PeerState is what a router reports to its peers. Every list is bounded.
type PeerState struct {
	// Speaks is the number of routers that the state covers; zero stands for one.
	Speaks int
	// Counted is how many of them the demands cover.
	Counted  int
	Revision int64
	Leaving  []TargetKey
	Loads    []Load
	Demands  []Demand
	Fills    []Fill
	// Limits are the rate limits that targets announced.
	Limits []LimitUpdate
	// Brittle are the targets that announced that they are brittle, and Arrivals the demand for their
	// pools.
	Brittle  []BrittleUpdate
	Arrivals []PoolArrivals
	// Silent are targets that recently did not respond.
	Silent []UnresponsiveUpdate
	// Hot are the most requested prompt parts.
	Hot []PartRate
	// Shared are the hashed ids of parts that were recently found to be shared.
	Shared []uint64
	// Kept are the prefixes that this router stored last.
	Kept []Kept
	// Holds are the targets that a pool's lease holder empties before an order.
	Holds []TargetKey
	// Loaded are the targets that the lease holder observed with new weights.
	Loaded []WeightsUpdate
	// Rollouts are the roll-outs of pools.
	Rollouts []RolloutUpdate
	// Releases are the splits of pools whose targets are of several releases.
	Releases []ReleaseUpdate
	// Notices are what this router recently learned about targets.
	Notices []TargetNotice
	// Ordered are the targets that did not answer an order of a pool's lease holder and may carry it
	// out later.
	Ordered []TargetKey
	// Prefills is the demand for the prefill of pools, and PrefillReporters the number of routers that
	// it covers, with or without a demand.
	Prefills         []PrefillDemand
	PrefillReporters int
	// Rates are the prefill rates that were recently observed. RatesDropped is the number of
	// targets whose rates the list left out.
	Rates        []RateUpdate
	RatesDropped int
	// Pools is the demand for saturated pools by organisation and priority.
	Pools []PoolDemand
	// CutOff are the pools of which no target responds to this router.
	CutOff []string
	// CutOffRouters are these pools with the routers that do not reach them, in a large fleet.
	CutOffRouters []CutOffRouters
}

// Load is what a router has in flight at a target.
type Load struct {
	Target   TargetKey
	InFlight int
	Prefill  int
	// Tokens is the memory that the requests occupy at an engine, in tokens.
	Tokens int
}

// Demand is an organisation's demand at a router and the part that was admitted, in requests and in
// tokens per second.
type Demand struct {
	Org        string
	Rate       float64
	Used       float64
	Tokens     float64
	TokensUsed float64
	// Level and TokenLevel are the sums of the levels known to Levels routers.
	Level      float64
	TokenLevel float64
	Levels     int
	// UrgentTokens is the part of Tokens that urgent requests ask for.
	UrgentTokens float64
}

func (d Demand) plus(o Demand) Demand {
	return Demand{
		Org: o.Org, Rate: d.Rate + o.Rate, Used: d.Used + o.Used, Tokens: d.Tokens + o.Tokens, TokensUsed: d.TokensUsed + o.TokensUsed,
		Level: d.Level + o.Level, TokenLevel: d.TokenLevel + o.TokenLevel, Levels: d.Levels + o.Levels,
		UrgentTokens: d.UrgentTokens + o.UrgentTokens,
	}
}

// requests and tokens return the demand in one unit.
func (d Demand) requests() usageRate { return usageRateOf(d.Rate, d.Used, d.Level, d.Levels) }
func (d Demand) tokens() usageRate {
	u := usageRateOf(d.Tokens, d.TokensUsed, d.TokenLevel, d.Levels)
	u.urgent = d.UrgentTokens
	return u
}

func usageRateOf(asked, used, levels float64, n int) usageRate {
	f := usageRate{asked: asked, used: used}
	if n > 0 {
		f.level, f.known = levels/float64(n), true
	}
	return f
}

// size returns the key by which demands are ordered.
func (d Demand) size() float64 { return d.Rate + d.Tokens }

// Aged returns the state as it counts after the given age: usage that was not reported again within
// [peerUsageMaxAge] no longer counts for limits, observed rates count for rateMaxAge, and notices
// for noticeTTL.
func (s PeerState) Aged(age time.Duration) PeerState {
	s.Notices = agedNotices(s.Notices, age)
	s.Releases = slices.Clone(s.Releases)
	for i, u := range s.Releases {
		s.Releases[i] = u.aged(age)
	}
	if age > rateMaxAge {
		s.Rates, s.RatesDropped = nil, 0
	}
	if age > peerUsageMaxAge {
		s.Demands, s.Counted = nil, 0
		s.Pools = nil
		s.Prefills, s.PrefillReporters = nil, 0
		s.Limits = slices.Clone(s.Limits)
		for i, w := range s.Limits {
			s.Limits[i] = w.withoutUsage()
		}
		s.Arrivals = nil
		s.Brittle = slices.Clone(s.Brittle)
		for i := range s.Brittle {
			s.Brittle[i].Rejected = 0
		}
	}
	return s
}

// Fill states that a target has cached a prefix, named by a block at the end of a message.
type Fill struct {
	Target TargetKey
	Block  Block
	// Age is the age of the fill when the message was sent.
	Age time.Duration
	// Left is the predicted time until the target has read the prefix; zero once it is read.
	Left time.Duration
	at   time.Time
}

// MaxTargetKeys bounds each list of target keys in a [PeerState].
const MaxTargetKeys = 64

// Bounds of the other lists of a [PeerState].
const (
	maxLoads   = 32
	maxDemands = 64
	maxFills   = 24
	fillTTL    = 2 * time.Second
)

func (s PeerState) routerCount() int { return max(1, s.Speaks) }

// JoinStates merges the states of several routers into one.
func JoinStates(states []PeerState) PeerState {
	var out PeerState
	loads := make(map[TargetKey]Load)
	demands := make(map[string]Demand)
	leaving := make(map[TargetKey]bool)
	loaded := make(map[WeightsUpdate]bool)
	hot := make(map[uint64]float64)
	silent := make(map[TargetKey]int)
	limits := make(map[TargetKey]LimitUpdate)
	rollouts := make(map[string]RolloutUpdate)
	releases := make(map[string]ReleaseUpdate)
	rates := make(rateSums)
	for _, s := range states {
		rates.add(s.Rates)
		out.RatesDropped += s.RatesDropped
		for _, w := range s.Limits {
			limits[w.Target] = limits[w.Target].joined(w)
		}
		for _, u := range s.Rollouts {
			rollouts[u.Order.Pool] = rollouts[u.Order.Pool].joined(u)
		}
		for _, u := range s.Releases {
			releases[u.Pool] = u.joined(releases[u.Pool])
		}
		out.Shared = append(out.Shared, s.Shared...)
		for _, w := range s.Silent {
			silent[w.Target] += w.Routers
		}
		for _, r := range s.Hot {
			hot[r.Part] += r.Rate
		}
		out.Speaks += s.routerCount()
		out.Counted += s.Counted
		out.PrefillReporters += s.PrefillReporters
		out.Revision = max(out.Revision, s.Revision)
		for _, l := range s.Loads {
			sum := loads[l.Target]
			loads[l.Target] = Load{l.Target, sum.InFlight + l.InFlight, sum.Prefill + l.Prefill, sum.Tokens + l.Tokens}
		}
		for _, d := range s.Demands {
			demands[d.Org] = demands[d.Org].plus(d)
		}
		for _, m := range s.Leaving {
			leaving[m] = true
		}
		for _, w := range s.Loaded {
			loaded[w] = true
		}
	}
	out.Prefills = joinPrefillDemands(states)
	out.Loads = slices.Collect(maps.Values(loads))
	out.Leaving = slices.Collect(maps.Keys(leaving))
	out.Loaded = slices.Collect(maps.Keys(loaded))
	out.Limits = slices.Collect(maps.Values(limits))
	out.Rollouts = slices.Collect(maps.Values(rollouts))
	out.Releases = slices.Collect(maps.Values(releases))
	for m, n := range silent {
		out.Silent = append(out.Silent, UnresponsiveUpdate{m, n})
	}
	for part, rate := range hot {
		out.Hot = append(out.Hot, PartRate{part, rate})
	}
	out.Demands = slices.Collect(maps.Values(demands))
	out.Notices = joinNotices(states)
	var dropped int
	out.Rates, dropped = rates.updates()
	out.RatesDropped += dropped
	out.Pools = joinPoolDemands(states)
	out.Brittle = joinBrittle(states)
	out.CutOffRouters = joinCutOff(states)
	return out
}

// State returns what this router reports to its peers.
func (b *Board) State(now time.Time) PeerState {
	s := PeerState{Counted: 1, Revision: b.Revision(), Leaving: b.DrainingTargets(), Kept: b.newlyKept, Demands: b.demands(now), Limits: b.limitUpdates(now)}
	s.Leaving = s.Leaving[:min(len(s.Leaving), MaxTargetKeys)]
	for _, t := range b.targets {
		if len(t.attempts) > 0 && len(s.Loads) < maxLoads {
			s.Loads = append(s.Loads, Load{t.key(), len(t.attempts), t.prefill, t.tokens})
		}
	}
	s.Rates, s.RatesDropped = b.rateUpdates(now)
	s.Silent = b.unresponsiveTargets(now)
	s.CutOff = b.unreachablePools(now)
	s.Rollouts = b.Rollouts(now)
	s.Releases = b.releaseUpdates(now)
	s.Notices = b.noticeUpdates(now)
	s.Pools = b.poolDemands(now)
	s.Brittle, s.Arrivals = b.brittleUpdates(now), b.poolArrivals(now)
	s.Hot = b.hot.report(now)
	if !b.disabled.Has(JointAdmission) {
		s.Prefills, s.PrefillReporters = b.prefillDemands(now), 1
	}
	s.Shared = b.shared.recentIDs(now)
	b.trimFills(now)
	for _, f := range b.fills[max(0, len(b.fills)-maxFills):] {
		f.Age = now.Sub(f.at)
		s.Fills = append(s.Fills, f)
	}
	return s
}

// demands returns the demand of organisations at this router, largest first.
func (b *Board) demands(now time.Time) []Demand {
	var out []Demand
	for name, o := range b.orgs {
		requests, tokens := o.requests.flow(now), o.tokens.flow(now)
		d := Demand{Org: name, Rate: o.offered.rate(now), Used: requests.used, Tokens: tokens.asked, TokensUsed: tokens.used, UrgentTokens: tokens.urgent}
		if requests.known && tokens.known {
			d.Level, d.TokenLevel, d.Levels = requests.level, tokens.level, 1
		}
		if d.Rate > minDemand || d.Used > minDemand || d.Tokens > minTokenDemand || d.TokensUsed > minTokenDemand {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(b.size(), a.size()) })
	return out[:min(len(out), maxDemands)]
}

// minDemand and minTokenDemand are the rates below which an organisation is not reported.
const (
	minDemand      = 0.05
	minTokenDemand = 10
)

func (b *Board) trimFills(now time.Time) {
	for len(b.fills) > 0 && now.Sub(b.fills[0].at) > fillTTL {
		b.fills = b.fills[1:]
	}
}

// MergePeers merges the latest states of the other routers. routers is the total number of routers,
// including this one and those without a state.
func (b *Board) MergePeers(now time.Time, states map[string]PeerState, routers int) []Action {
	b.routers = max(1, routers, len(states)+1)
	if b.snap != nil {
		b.recentRouters.observe(now, b.routers, time.Duration(b.snap.Config.Requests.RetryWindow))
	}
	b.limitSharers.observe(now, b.routers, limitSharersWindow)
	for id, s := range states {
		b.peers[id] = s
	}
	b.prunePeers(states)
	b.mergeDraining(states)
	b.mergeLoads(now)
	b.mergeRates(now)
	b.mergeFills(now, states)
	b.mergeKept(states)
	b.hot.merge(states)
	b.mergeShared(states)
	b.mergeUnresponsive(now, states)
	b.mergeNotices(now, states)
	b.mergeRollouts(now, states)
	b.mergeReleases(now, states)
	b.expireFills(now)
	b.mergeOrgDemands(now, states)
	b.mergeLimits(now, states)
	b.mergeBrittle(now, states)
	b.mergePrefillDemands(now, states)
	b.mergePoolDemands(now, states)
	return b.dispatch(now)
}

// prunePeers keeps the last state of a peer from which nothing is received any more, while it may
// still run, so that its share of the limits is not given away.
func (b *Board) prunePeers(states map[string]PeerState) {
	missing := b.routers - 1
	for _, s := range states {
		missing -= s.routerCount()
	}
	for id, s := range b.peers {
		if _, live := states[id]; live {
			continue
		}
		if missing -= s.routerCount(); missing < 0 {
			delete(b.peers, id)
			continue
		}
		s.Loads, s.Fills, s.Leaving, s.Limits, s.Rates = nil, nil, nil, nil, nil
		s.Brittle, s.Arrivals = nil, nil
		b.peers[id] = s
	}
}

func (b *Board) mergeDraining(states map[string]PeerState) {
	for _, s := range states {
		for _, m := range s.Leaving {
			b.MarkDraining(m)
		}
	}
}

func (b *Board) mergeLoads(now time.Time) {
	for _, t := range b.targets {
		t.peerInFlight, t.peerPrefill, t.peerTokens, t.peersAt = 0, 0, 0, now
	}
	for _, s := range b.peers {
		for _, l := range s.Loads {
			if t, ok := b.targetByKey(l.Target); ok {
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
			if t, ok := b.targetByKey(f.Target); ok {
				b.recordFill(now, t, f)
			}
		}
	}
}
