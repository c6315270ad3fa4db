package route

import (
	"fmt"
	"math"
	"time"

	"github.com/pathhead/pathhead/policy"
)

// orgState is what a router knows of one organisation's use.
type orgState struct {
	requests sharedBucket
	tokens   sharedBucket
	inFlight int
	offered  meter
	// share is this router's part of the organisation's requests in flight, from 0 to 1.
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

// Charge is what a request was charged of its organisation's limits; the zero one is nothing.
type Charge struct {
	org              string
	requests, tokens float64
}

// Charge takes a request from its organisation's limits or says why not. Tokens is what it
// counts; with zero it says nothing of its size. A shell that knows organisation and size
// before it has read the whole request charges it then, and gives the charge back or
// hands it over with [Request.Charge].
func (b *Board) Charge(now time.Time, name string, tokens int) (Charge, *Refusal) {
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
	if g := b.limitGrant(now, l.RequestsPerSecond, l.RequestBurst); g.rate > 0 && !o.requests.tryTake(now, g, c.requests, b.rng.Float64()) {
		return Charge{}, b.overLimit(now, &o.requests, g, c.requests, "requests")
	}
	if g := b.limitGrant(now, l.TokensPerSecond, l.TokenBurst); g.rate > 0 && !o.tokens.tryTake(now, g, c.tokens, b.rng.Float64()) {
		o.requests.refund(now, c.requests)
		return Charge{}, b.overLimit(now, &o.tokens, g, c.tokens, "tokens")
	}
	return c, nil
}

// RefundCharge returns a charge of a request that did not run.
func (b *Board) RefundCharge(now time.Time, c Charge) {
	if o, ok := b.orgs[c.org]; ok {
		o.requests.refund(now, c.requests)
		o.tokens.refund(now, c.tokens)
	}
}

// slackBurstShare is the part of the slack that is there as a burst from the beginning, so that a
// large request below the limit is not refused. The rest, and what all may go over the limit
// by, is for what is let through before all have heard of it: so 90 routers of which 15 are cut off
// as an organisation begins to ask for four times its limit stay below the bound
// (TestLimitBound). One that is alone hears of everything at once, and keeps back what is
// under way.
const (
	slackBurstShare      = 0.35
	slackBurstShareAlone = 0.8
	// minRateShare is the part of a rate that is used, besides what all may go over it by: the
	// rest is for what is let through before all have heard of it, and for what routers used last
	// that end or are cut off. With a tenth over, 0.96 is used, which TestLimitBound is played with.
	minRateShare = 0.86
)

// limitGrant is this router's and those routers' part of a limit that it is in touch with; the
// others have an equal part each, since nobody knows what they use.
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

// The bounds of how many routers share a limit.
const (
	// peerUsageMaxAge is the age up to which the word of another router counts for limits. Words
	// come every 250 ms; one that is cut off uses what it had for as long.
	peerUsageMaxAge = 700 * time.Millisecond
	// peerDiscoveryTime is how long a router that began may have met no other, and assumedRouters how
	// many share the limits with it until then, where its settings name only some and it was
	// not told how many there are. 90 that began together took a third of each limit each.
	peerDiscoveryTime = 2500 * time.Millisecond
	assumedRouters    = 512
	// limitSharersWindow is how long routers that are not heard of keep their parts. Nobody can
	// tell those that are cut off, and use them, from those that are gone; a cut of a node
	// or a failure domain is mended within minutes.
	limitSharersWindow = time.Minute
)

// countLimitSharers returns how many routers this one shares its account of limits with, itself
// among them, and how many there may be.
func (b *Board) countLimitSharers(now time.Time) (known, all int) {
	return b.countLimitSharersAt(now, b.limitReporters, b.limitsReportedAt)
}

// countLimitSharersAt is together for an account of which so many other routers told at a time.
func (b *Board) countLimitSharersAt(now time.Time, counted int, toldAt time.Time) (known, all int) {
	known = 1
	if now.Sub(toldAt) <= peerUsageMaxAge && !b.disabled.Has(LimitAccount) {
		known += counted
	}
	all = max(b.limitSharers.value, b.routers)
	if b.partialPeerList && !b.soleRouter && known == 1 && all <= b.configuredRouters && now.Sub(b.begun) < peerDiscoveryTime {
		all = max(all, assumedRouters)
	}
	return min(known, all), all
}

// admitOrg takes a request from its organisation's limits, but for what was charged
// already, or says why not.
func (b *Board) admitOrg(now time.Time, r *request) *Refusal {
	if r.Org == "" {
		return nil
	}
	if r.Charge == (Charge{}) {
		size := r.promptTokens() + r.MaxTokens
		charge, refusal := b.Charge(now, r.Org, size)
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
	if most := org.Limits.InFlight; most > 0 && o.inFlight >= shareOf(most, o.share) {
		return &Refusal{Cause: CauseLimit, RetryAfter: b.minRetryAfter, Detail: "limit on requests in flight"}
	}
	o.inFlight++
	return nil
}

// shareOf is a router's share of a whole number, at least one.
func shareOf(n int, share float64) int {
	return max(1, int(math.Round(float64(n)*share)))
}

// refundUnusedTokens gives back the tokens that an answer did not use, where the request's own
// estimate was charged.
func (b *Board) refundUnusedTokens(now time.Time, r *request, u *Usage) {
	if o, ok := b.orgs[r.Org]; ok && u != nil && r.Model != nil && r.estimated {
		o.tokens.refund(now, float64(max(0, r.MaxTokens-u.Completion)))
	}
}

// defaultMinRetryAfter is the least time a caller is told to stay away unless an option says otherwise.
const defaultMinRetryAfter = time.Second

func (b *Board) overLimit(now time.Time, a *sharedBucket, g grant, cost float64, unit string) *Refusal {
	known, all := b.countLimitSharers(now)
	return &Refusal{
		Cause: CauseLimit, RetryAfter: max(a.wait(g, cost), b.minRetryAfter),
		Detail: fmt.Sprintf("limit on %s per second: %.0f wanted, %.0f left, %.0f a second come in, %.0f are asked for, for %d of %d routers",
			unit, cost, a.level, g.rate, a.others.asked+a.asked.rate(now), known, all),
	}
}

// weight returns an organisation's weight in the fair queue.
func (b *Board) weight(org string) float64 {
	if o, ok := b.snap.Org(org); ok {
		return o.Weight
	}
	return 1
}

// mergeOrgDemands takes what the others told of organisations' use, and divides the bounds on
// requests in flight by the demand at each router.
func (b *Board) mergeOrgDemands(now time.Time, states map[string]PeerState) {
	b.limitReporters, b.limitsReportedAt = 0, now
	told := make(map[string]Demand)
	for _, s := range states {
		b.limitReporters += s.Counted
		for _, d := range s.Demands {
			told[d.Org] = told[d.Org].plus(d)
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
	for name := range told {
		if _, ok := b.configuredOrg(name); ok {
			b.orgState(name)
		}
	}
	for name, o := range b.orgs {
		b.mergeOrgUsage(now, name, o, told[name])
		o.shareInFlight(now, total[name], b.routers, known)
	}
}

// configuredOrg returns an organisation of the configuration in force.
func (b *Board) configuredOrg(name string) (*policy.Org, bool) {
	if b.snap == nil {
		return nil, false
	}
	return b.snap.Org(name)
}

// mergeOrgUsage takes what the others told of one organisation's use.
func (b *Board) mergeOrgUsage(now time.Time, name string, o *orgState, told Demand) {
	if org, ok := b.configuredOrg(name); ok {
		l := org.Limits
		o.requests.mergeOthers(now, b.limitGrant(now, l.RequestsPerSecond, l.RequestBurst), told.requests())
		o.tokens.mergeOthers(now, b.limitGrant(now, l.TokensPerSecond, l.TokenBurst), told.tokens())
	}
}

// shareInFlight works out this router's part of the bound on requests in flight. Demand is
// measured and told late, so a part of the bound is shared evenly.
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

// evenShare is the part of every bound on requests in flight that is shared evenly between routers.
const evenShare = 0.2
