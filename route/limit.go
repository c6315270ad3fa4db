package route

import (
	"fmt"
	"math"
	"time"

	"github.com/pathhead/pathhead/policy"
)

// orgState is what a router knows of one organisation's usage.
type orgState struct {
	requests sharedBucket
	tokens   sharedBucket
	inFlight int
	offered  meter
	// share is this router's share of the organisation's limit on requests in flight, from 0 to 1.
	share float64
}

// demandWindow is the time over which an organisation's demand is measured.
const demandWindow = time.Second

func (b *Board) orgState(name string) *orgState {
	o, ok := b.orgs[name]
	if !ok {
		o = &orgState{
			requests: newSharedBucket(b.begun), tokens: newSharedBucket(b.begun),
			offered: newMeter(demandWindow), share: 1 / float64(b.routers),
		}
		b.orgs[name] = o
	}
	return o
}

// Charge is what a request was charged against its organisation's limits. The zero value is no
// charge.
type Charge struct {
	org              string
	requests, tokens float64
}

// Charge charges a request to its organisation's limits, or returns a refusal. tokens is the cost
// of the request; zero means that its size is unknown. A caller that knows organisation and size
// before the whole request is read charges it then, and either refunds the charge or passes it on
// with [Request.Charge]. Within a limit on tokens, urgent requests go first; see [Board.Urgent].
func (b *Board) Charge(now time.Time, name string, tokens int, urgent bool) (Charge, *Refusal) {
	if name == "" || b.snap == nil {
		// Routes without keys have no organisation and no limits.
		return Charge{}, nil
	}
	org, ok := b.snap.Org(name)
	if !ok {
		return Charge{}, &Refusal{Cause: CauseLimit, Detail: "the organisation is not configured any more"}
	}
	if tokens == 0 {
		tokens = org.Limits.CallTokens
	}
	o, l := b.orgState(name), org.Limits
	c := Charge{org: name, requests: 1, tokens: float64(tokens)}
	o.offered.add(now, 1)
	if g := b.limitGrant(now, l.RequestsPerSecond, l.RequestBurst); g.rate > 0 && !o.requests.tryTake(now, g, c.requests, b.rng.Float64(), false) {
		return Charge{}, b.limitRefusal(now, &o.requests, g, c.requests, "requests")
	}
	if g := b.limitGrant(now, l.TokensPerSecond, l.TokenBurst); g.rate > 0 && !o.tokens.tryTake(now, g, c.tokens, b.rng.Float64(), urgent) {
		o.requests.refund(now, c.requests)
		return Charge{}, b.limitRefusal(now, &o.tokens, g, c.tokens, "tokens")
	}
	return c, nil
}

// Urgent reports whether a request with the given aim is among the most urgent ones of a pool: those
// with the shortest aim that the configuration states for it. Priorities don't tell, since one that
// an organisation has applies to all its requests.
func (b *Board) Urgent(pool string, aim time.Duration) bool {
	p, ok := b.pools[pool]
	return ok && aim > 0 && aim <= p.urgentAim
}

// RefundCharge refunds the charge of a request that did not run.
func (b *Board) RefundCharge(now time.Time, c Charge) {
	if o, ok := b.orgs[c.org]; ok {
		o.requests.refund(now, c.requests)
		o.tokens.refund(now, c.tokens)
	}
}

// slackBurstShare is the part of the slack that is available as a burst from the start, so that a
// large request is not refused below the limit. The rest of the slack, and the allowed overage,
// cover what is admitted before all routers know of it. With this share, 90 routers stay below the
// bound even if 15 of them are cut off just as an organisation begins to ask for four times its
// limit. slackBurstShareAlone applies to a router that is alone: it knows all usage at once and
// reserves only for requests in flight.
const (
	slackBurstShare      = 0.35
	slackBurstShareAlone = 0.8
	// minRateShare is the part of a rate that is used, in addition to the allowed overage. The rest
	// covers what is admitted before all routers know of it, and the last usage of routers that
	// stop or are cut off. With an overage of a tenth, 0.96 of the rate is used.
	minRateShare = 0.86
)

// limitGrant returns the part of a limit for this router and those it exchanges usage with. Each
// other router is assumed to use an equal share, since its usage is unknown.
func (b *Board) limitGrant(now time.Time, rate, burst float64) grant {
	if rate <= 0 {
		return grant{}
	}
	if burst <= 0 {
		burst = rate
	}
	q := b.snap.Config.Requests
	known, all := b.countLimitSharers(now)
	part := float64(known) / float64(all)
	if all > 1 {
		burst += slackBurstShare * q.LimitSlack
		part *= min(1, minRateShare+q.LimitOverage)
	} else {
		burst += slackBurstShareAlone * q.LimitSlack
	}
	return grant{rate: rate * part, burst: burst * part, whole: known == all, alone: known == 1}
}

// Constants for the number of routers that share a limit.
const (
	// peerUsageMaxAge is the age up to which another router's usage report counts. Reports arrive
	// every 250 ms. A router that is cut off keeps using its grant for this long.
	peerUsageMaxAge = 700 * time.Millisecond
	// peerDiscoveryTime is how long after its start a router may have met no other router. Until
	// then it assumes that assumedRouters share the limits, if its settings name only some of them
	// and the number is unknown. Without this, each of 90 routers that started together took a
	// third of each limit.
	peerDiscoveryTime = 2500 * time.Millisecond
	assumedRouters    = 512
	// limitSharersWindow is how long routers from which nothing is received any more keep their
	// shares. Routers that are cut off and still use their share cannot be told apart from stopped
	// ones. A node or failure domain that is cut off is usually restored within minutes.
	limitSharersWindow = time.Minute
)

// countLimitSharers returns how many routers share their usage with this one, including itself, and
// how many routers there may be in total.
func (b *Board) countLimitSharers(now time.Time) (known, all int) {
	return b.countLimitSharersAt(now, b.limitReporters, b.limitsReportedAt)
}

// countLimitSharersAt is like countLimitSharers, for a bucket whose usage was reported by reporters
// other routers at reportedAt.
func (b *Board) countLimitSharersAt(now time.Time, reporters int, reportedAt time.Time) (known, all int) {
	known = 1
	if now.Sub(reportedAt) <= peerUsageMaxAge && !b.disabled.Has(LimitAccount) {
		known += reporters
	}
	all = max(b.limitSharers.value, b.routers)
	if b.partialPeerList && !b.soleRouter && known == 1 && all <= b.configuredRouters && now.Sub(b.begun) < peerDiscoveryTime {
		all = max(all, assumedRouters)
	}
	return min(known, all), all
}

// admitOrg charges a request to its organisation's limits, unless it is already charged, or returns
// a refusal.
func (b *Board) admitOrg(now time.Time, r *request) *Refusal {
	if r.Org == "" {
		return nil
	}
	if r.Charge == (Charge{}) && !r.HandedOver {
		size := r.promptTokens() + r.MaxTokens
		charge, refusal := b.Charge(now, r.Org, size, b.Urgent(r.Pool, r.Aim))
		if refusal != nil {
			return refusal
		}
		r.Charge, r.estimated = charge, true
	}
	org, ok := b.snap.Org(r.Org)
	if !ok {
		return &Refusal{Cause: CauseLimit, Detail: "the organisation is not configured any more"}
	}
	o := b.orgState(r.Org)
	if most := org.Limits.InFlight; most > 0 && !r.HandedOver && o.inFlight >= shareOf(most, o.share) {
		return &Refusal{Cause: CauseLimit, RetryAfter: b.minRetryAfter, Detail: "limit on requests in flight"}
	}
	o.inFlight++
	return nil
}

// shareOf returns a router's share of an integer limit, at least one.
func shareOf(n int, share float64) int {
	return max(1, int(math.Round(float64(n)*share)))
}

// refundUnusedTokens refunds the tokens that an answer did not use, if the request was charged by
// its estimated size.
func (b *Board) refundUnusedTokens(now time.Time, r *request, u *Usage) {
	if o, ok := b.orgs[r.Org]; ok && u != nil && r.Model != nil && r.estimated {
		o.tokens.refund(now, float64(max(0, r.MaxTokens-u.Completion)))
	}
}

// defaultMinRetryAfter is the least Retry-After unless [WithMinRetryAfter] sets another.
const defaultMinRetryAfter = time.Second

func (b *Board) limitRefusal(now time.Time, bucket *sharedBucket, g grant, cost float64, unit string) *Refusal {
	known, all := b.countLimitSharers(now)
	return &Refusal{
		Cause: CauseLimit, RetryAfter: max(bucket.wait(g, cost), b.minRetryAfter),
		Detail: fmt.Sprintf("limit on %s per second: %.0f wanted, %.0f left, %.0f a second come in, %.0f are asked for, for %d of %d routers",
			unit, cost, bucket.level, g.rate, bucket.others.asked+bucket.asked.rate(now), known, all),
	}
}

// weight returns an organisation's weight in the fair queue.
func (b *Board) weight(org string) float64 {
	if o, ok := b.snap.Org(org); ok {
		return o.Weight
	}
	return 1
}

// mergeOrgDemands merges the usage of organisations that the other routers reported, and divides
// the limits on requests in flight by the demand at each router.
func (b *Board) mergeOrgDemands(now time.Time, states map[string]PeerState) {
	b.limitReporters, b.limitsReportedAt = 0, now
	reported := make(map[string]Demand)
	for _, s := range states {
		b.limitReporters += s.Counted
		for _, d := range s.Demands {
			reported[d.Org] = reported[d.Org].plus(d)
		}
	}
	known := 1
	total := make(map[string]float64)
	for _, s := range b.peers {
		known += s.routerCount()
		for _, d := range s.Demands {
			total[d.Org] += d.Rate
		}
	}
	for name := range reported {
		if _, ok := b.configuredOrg(name); ok {
			b.orgState(name)
		}
	}
	for name, o := range b.orgs {
		b.mergeOrgUsage(now, name, o, reported[name])
		o.shareInFlight(now, total[name], b.routers, known)
	}
}

// configuredOrg returns an organisation of the current configuration.
func (b *Board) configuredOrg(name string) (*policy.Org, bool) {
	if b.snap == nil {
		return nil, false
	}
	return b.snap.Org(name)
}

// mergeOrgUsage merges the usage of one organisation that the other routers reported.
func (b *Board) mergeOrgUsage(now time.Time, name string, o *orgState, reported Demand) {
	if org, ok := b.configuredOrg(name); ok {
		l := org.Limits
		o.requests.mergeOthers(now, b.limitGrant(now, l.RequestsPerSecond, l.RequestBurst), reported.requests())
		o.tokens.mergeOthers(now, b.limitGrant(now, l.TokensPerSecond, l.TokenBurst), reported.tokens())
	}
}

// shareInFlight computes this router's share of the limit on requests in flight. Demand is measured
// and reported with a delay, so part of the limit is divided evenly.
func (o *orgState) shareInFlight(now time.Time, others float64, routers, known int) {
	even := 1 / float64(routers)
	byDemand := even
	own := o.offered.rate(now)
	if sum := own + others; sum > 0 {
		byDemand = own / sum
	}
	if known < routers {
		byDemand = math.Min(byDemand, even)
	}
	o.share = evenShare*even + (1-evenShare)*byDemand
}

// evenShare is the part of each limit on requests in flight that is divided evenly between routers.
const evenShare = 0.2
