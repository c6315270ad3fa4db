package route

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// PrefillDemand is the prefill that requests with an aim ask of a pool's engines at a router, in tokens
// per second, whether they are sent or refused.
type PrefillDemand struct {
	Pool string
	// Urgent is that of the requests with the shortest aim, Other that of all others.
	Urgent, Other float64
}

func (d PrefillDemand) plus(o PrefillDemand) PrefillDemand {
	return PrefillDemand{o.Pool, d.Urgent + o.Urgent, d.Other + o.Other}
}

// maxPrefillDemands bounds the pools in a report. minPrefillDemand is the demand below which a pool is
// not reported, in tokens per second.
const (
	maxPrefillDemands = 16
	minPrefillDemand  = 10
)

// prefillDemands returns the demand for each pool at this router, largest first.
func (b *Board) prefillDemands(now time.Time) []PrefillDemand {
	var out []PrefillDemand
	for name, p := range b.pools {
		d := p.asked.own(now)
		d.Pool = name
		if d.Urgent+d.Other > minPrefillDemand {
			out = append(out, d)
		}
	}
	return boundPrefillDemands(out)
}

// boundPrefillDemands returns the largest demands in order.
func boundPrefillDemands(demands []PrefillDemand) []PrefillDemand {
	slices.SortFunc(demands, func(a, b PrefillDemand) int {
		return cmp.Or(cmp.Compare(b.Urgent+b.Other, a.Urgent+a.Other), cmp.Compare(a.Pool, b.Pool))
	})
	return demands[:min(len(demands), maxPrefillDemands)]
}

// addPrefillDemands adds the demands of one router to sums by pool.
func addPrefillDemands(sums map[string]PrefillDemand, demands []PrefillDemand) {
	for _, d := range demands {
		sums[d.Pool] = sums[d.Pool].plus(d)
	}
}

// joinPrefillDemands sums the demands of several routers.
func joinPrefillDemands(states []PeerState) []PrefillDemand {
	sums := make(map[string]PrefillDemand)
	for _, s := range states {
		addPrefillDemands(sums, s.Prefills)
	}
	return boundPrefillDemands(slices.Collect(maps.Values(sums)))
}

// mergePrefillDemands sets the demand that the other routers reported.
func (b *Board) mergePrefillDemands(now time.Time, states map[string]PeerState) {
	sums := make(map[string]PrefillDemand)
	reporters := 0
	for _, s := range states {
		reporters += s.PrefillReporters
		addPrefillDemands(sums, s.Prefills)
	}
	for name, p := range b.pools {
		p.asked.others, p.asked.reporters, p.asked.reportedAt = sums[name], reporters, now
	}
}

// demandMeter measures the demand for a pool.
type demandMeter struct {
	urgent, other meter
	// urgentTokens is the usual prefill of a request with the shortest aim.
	urgentTokens float64
	// others is the demand at the reporters, which are other routers, as reported at reportedAt.
	others     PrefillDemand
	reporters  int
	reportedAt time.Time
}

func newDemandMeter(now time.Time) demandMeter {
	var d demandMeter
	for _, m := range []*meter{&d.urgent, &d.other} {
		*m = newMeter(demandMeterWindow)
		m.begun, m.at = now, now
	}
	return d
}

// expire forgets what other routers reported long ago.
func (d *demandMeter) expire(now time.Time) {
	if now.Sub(d.reportedAt) > peerUsageMaxAge {
		d.others, d.reporters = PrefillDemand{}, 0
	}
}

// own returns the demand at this router.
func (d *demandMeter) own(now time.Time) PrefillDemand {
	return PrefillDemand{Urgent: d.urgent.rate(now), Other: d.other.rate(now)}
}

// total estimates the demand at all routers. Routers that do not report are assumed to have the
// mean demand of the others.
func (d *demandMeter) total(now time.Time, routers int) PrefillDemand {
	known := float64(1 + d.reporters)
	scale := max(known, float64(routers)) / known
	sum := d.own(now).plus(d.others)
	return PrefillDemand{sum.Pool, scale * sum.Urgent, scale * sum.Other}
}

// poolLoad is the joint load of a pool's engines.
type poolLoad struct {
	at time.Time
	// capacity is what the engines prefill, in tokens per second, and wait the mean wait for it.
	capacity float64
	wait     time.Duration
	engines  int
	// unseen is the part of wait that is assumed of routers that do not report.
	unseen time.Duration
}

// poolLoadInterval is how long a joint load is used before it is computed again.
const poolLoadInterval = 20 * time.Millisecond

// maxCountedWait bounds what one target adds to the mean wait of a pool: a longer wait than the
// least aim shows that this target is slow or unresponsive, and says nothing about the others.
func maxCountedWait(leastAim time.Duration) time.Duration {
	if leastAim <= 0 {
		return math.MaxInt64
	}
	return leastAim
}

// loadOf returns the joint load of a pool's engines.
func (b *Board) loadOf(now time.Time, p *pool) poolLoad {
	if now.Sub(p.load.at) < poolLoadInterval {
		return p.load
	}
	p.asked.expire(now)
	l := poolLoad{at: now}
	sum := time.Duration(0)
	for _, t := range p.members {
		if t.usable() && !t.backingOff(now) {
			l.engines++
			sum += min(b.jointWait(now, t), maxCountedWait(p.urgentAim))
			l.capacity += t.rate()
		}
	}
	if l.engines > 0 {
		l.wait = sum / time.Duration(l.engines)
		l.unseen = b.unseenWait(p, l.wait)
		l.wait += l.unseen
	}
	p.load = l
	return l
}

// urgentPrefill returns the usual prefill time of the most urgent requests to a pool, at most half of
// their aim: the other half is left for waiting even if their prompts are long, since otherwise no
// less urgent request could be sent beside them.
func (b *Board) urgentPrefill(now time.Time, p *pool) time.Duration {
	load := b.loadOf(now, p)
	if load.engines == 0 {
		return 0
	}
	usual := p.correct(now, seconds(p.asked.urgentTokens*float64(load.engines)/load.capacity))
	return min(usual, p.urgentAim/2)
}

// countDemand counts the prefill that a request asks for, once.
func (b *Board) countDemand(now time.Time, p *pool, r *request) {
	r.counted = true
	tokens := float64(r.outlook.best.uncached(r))
	p.joint.add(now, b.demandKeyOf(r), tokens)
	if p.urgentAim == 0 || r.Aim <= p.urgentAim {
		p.asked.urgent.add(now, tokens)
		p.asked.urgentTokens = smooth(p.asked.urgentTokens, tokens)
	} else {
		p.asked.other.add(now, tokens)
	}
}
