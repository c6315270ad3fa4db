package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PoolDemand is the prefill that one organisation's requests of one priority ask of a pool, in
// tokens per second, whether they are sent or refused.
type PoolDemand struct {
	Pool string
	// Org is empty for the sum of all organisations that are not listed by name.
	Org      string
	Priority int
	// Urgent is set if the requests have the shortest aim of the pool.
	Urgent bool
	Asked  float64
}

// Bounds of the demands in a report.
const (
	// maxPoolDemands bounds the listed demands of a [PeerState].
	maxPoolDemands = 48
	// minPoolDemand is the demand below which it is not reported, in tokens per second.
	minPoolDemand = 10
)

// demandKey identifies a demand for a pool. The key without an organisation stands for all those
// that are not listed by name.
type demandKey struct {
	org      string
	priority int
	urgent   bool
}

// unnamed returns the key of the sum to which a demand belongs that is not listed by name.
func (k demandKey) unnamed() demandKey {
	k.org = ""
	return k
}

func (b *Board) demandKeyOf(r *request) demandKey {
	return demandKey{r.Org, r.Priority, b.Urgent(r.Pool, r.Aim)}
}

// jointDemand is the demand for a pool at all routers, by organisation and priority.
type jointDemand struct {
	own map[demandKey]*meter
	// others is the demand that the other routers reported at reportedAt.
	others     map[demandKey]float64
	reportedAt time.Time
	// shares are the admitted parts of what is asked, from 0 to 1, while the pool is saturated.
	shares   map[demandKey]float64
	sharesAt time.Time
	// refused counts refusals by priority. returnsKept and returnsEarly count the requests that
	// returned when they were told to, and earlier.
	refused                   map[int]int
	returnsKept, returnsEarly int
}

func newJointDemand() jointDemand {
	return jointDemand{own: make(map[demandKey]*meter), refused: make(map[int]int)}
}

// add counts the prefill that a request asks for.
func (j *jointDemand) add(now time.Time, key demandKey, tokens float64) {
	m, ok := j.own[key]
	if !ok {
		m = &meter{window: demandMeterWindow}
		j.own[key] = m
	}
	m.add(now, tokens)
}

// rates returns the demand at this router and forgets demands that ended.
func (j *jointDemand) rates(now time.Time) map[demandKey]float64 {
	out := make(map[demandKey]float64, len(j.own))
	for key, m := range j.own {
		if rate := m.windowRate(now); rate >= minPoolDemand {
			out[key] = rate
		} else {
			delete(j.own, key)
		}
	}
	return out
}

// joint returns the demand at all routers. Organisations of this router that the others may have
// summed up without their names are added to that sum.
func (j *jointDemand) joint(now time.Time) map[demandKey]float64 {
	out := make(map[demandKey]float64)
	if !j.reportedAt.IsZero() && now.Sub(j.reportedAt) <= peerUsageMaxAge {
		for key, rate := range j.others {
			out[key] = rate
		}
	}
	for key, rate := range j.rates(now) {
		rest := key.unnamed()
		_, named := out[key]
		if _, summed := out[rest]; summed && !named {
			key = rest
		}
		out[key] += rate
	}
	return out
}

// poolDemands returns the demand for saturated pools at this router.
func (b *Board) poolDemands(now time.Time) []PoolDemand {
	if b.disabled.Has(JointShares) {
		return nil
	}
	var out []PoolDemand
	for name, p := range b.pools {
		if !b.busy(now, p) {
			continue
		}
		for key, rate := range p.joint.rates(now) {
			out = append(out, PoolDemand{name, key.org, key.priority, key.urgent, rate})
		}
	}
	return boundPoolDemands(out)
}

// poolDemandKey identifies a demand among those of all pools.
type poolDemandKey struct {
	pool string
	demandKey
}

// boundPoolDemands merges the demands of the same organisation and priority. It returns the largest
// ones, and adds all others to those without an organisation.
func boundPoolDemands(demands []PoolDemand) []PoolDemand {
	sums := make(map[poolDemandKey]float64)
	for _, d := range demands {
		sums[poolDemandKey{d.Pool, demandKey{d.Org, d.Priority, d.Urgent}}] += d.Asked
	}
	keys := make([]poolDemandKey, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b poolDemandKey) int {
		return cmp.Or(
			cmp.Compare(sums[b], sums[a]), cmp.Compare(a.pool, b.pool),
			cmp.Compare(a.org, b.org), cmp.Compare(a.priority, b.priority),
		)
	})
	rest := make(map[poolDemandKey]float64)
	var out []PoolDemand
	for i, key := range keys {
		if key.org == "" || i >= maxPoolDemands {
			rest[poolDemandKey{key.pool, key.unnamed()}] += sums[key]
			continue
		}
		out = append(out, PoolDemand{key.pool, key.org, key.priority, key.urgent, roundRate(sums[key])})
	}
	for key, rate := range rest {
		out = append(out, PoolDemand{key.pool, "", key.priority, key.urgent, roundRate(rate)})
	}
	return out
}

// roundRate rounds a rate to 9 binary digits, with which gob encodes it in four bytes instead of
// nine.
func roundRate(r float64) float64 {
	const dropped = 44
	return math.Float64frombits((math.Float64bits(r) + 1<<(dropped-1)) &^ (1<<dropped - 1))
}

// joinPoolDemands merges what several routers reported.
func joinPoolDemands(states []PeerState) []PoolDemand {
	var all []PoolDemand
	for _, s := range states {
		all = append(all, s.Pools...)
	}
	return boundPoolDemands(all)
}

// mergePoolDemands merges what the other routers reported.
func (b *Board) mergePoolDemands(now time.Time, states map[string]PeerState) {
	for _, p := range b.pools {
		p.joint.others, p.joint.reportedAt = make(map[demandKey]float64), now
	}
	for _, s := range states {
		for _, d := range s.Pools {
			if p, ok := b.pools[d.Pool]; ok {
				p.joint.others[demandKey{d.Org, d.Priority, d.Urgent}] += d.Asked
			}
		}
	}
}
