package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A target's prefill rate is learned from the time to first token. That time also contains waiting
// behind other prompts, a fixed latency, and moments at which the machine is slow. An observation
// therefore counts the tokens that were ahead of the prompt as work, and the pool's fixed latency is
// subtracted. What is left unknown mostly lowers observations, since nothing makes an engine read
// faster than it can, so the rate is a power mean, in which quick observations outweigh slow ones.
// Power means of several routers can be merged.

// Constants of the observations. Those of the last rateWindow count, which is shorter than callers'
// aims, so that a change is known before requests that rely on the earlier rate are late.
const (
	minLearnTokens = 200
	rateWindow     = time.Second
	rateMaxAge     = time.Second
	ratePower      = 6
	// minRateWeight is the weight of the observations that replace the known rate. With less, the
	// rate moves towards them.
	minRateWeight = 0.5
	// maxRateRise bounds an observation that exceeds the pool's rate as a multiple of the known
	// rate: a prompt of which more was cached than assumed appears to be read faster than the
	// engine can. maxRateFall bounds the fall of the rate with one observation.
	maxRateRise = 1.5
	maxRateFall = 4
	// A capacity below slowCapacity counts at once, as does a return from there to normalCapacity
	// or more. A target that is not known to have work is assumed to have normalCapacity at
	// least, so that one that has recovered is tried again.
	slowCapacity   = 0.35
	normalCapacity = 0.5
	// crowdedWeight is the weight of an observation that may contain waiting for a slot.
	crowdedWeight = 0.25
)

// rateSample is an observed prefill rate in tokens per second, with its weight.
type rateSample struct {
	at           time.Time
	rate, weight float64
}

// weightedRate is the power mean of observed rates, with the sum of their weights.
type weightedRate struct{ rate, weight float64 }

// plus returns the power mean of the observations of both.
func (w weightedRate) plus(o weightedRate) weightedRate {
	sum := w.weight + o.weight
	if sum == 0 {
		return weightedRate{}
	}
	powers := w.weight*math.Pow(w.rate, ratePower) + o.weight*math.Pow(o.rate, ratePower)
	return weightedRate{math.Pow(powers/sum, 1.0/ratePower), sum}
}

// rateSamples are this router's recent observations of one target, oldest first.
type rateSamples []rateSample

// expire returns the observations without those that no longer count.
func (s rateSamples) expire(now time.Time) rateSamples {
	return slices.DeleteFunc(s, func(o rateSample) bool { return now.Sub(o.at) > rateWindow })
}

func (s rateSamples) mean() weightedRate {
	var out weightedRate
	for _, o := range s {
		out = out.plus(weightedRate{o.rate, o.weight})
	}
	return out
}

// addRate adds an observation and updates the target's rate.
func (t *target) addRate(o rateSample) {
	if known := t.learnedRate(); known > 0 {
		o.rate = max(known/maxRateFall, min(o.rate, max(maxRateRise*known, t.poolRate())))
	}
	t.rates = append(t.rates, o)
	t.updateRate(o.at)
}

// updateRate updates the target's recent rate from the observations of all routers, and with it the
// rate that is assumed.
func (t *target) updateRate(now time.Time) {
	t.rates = t.rates.expire(now)
	seen := t.rates.mean().plus(t.peerRate)
	switch {
	case seen.weight == 0:
	case t.recent == 0:
		t.recent = seen.rate
	default:
		t.recent += min(1, seen.weight/minRateWeight) * (seen.rate - t.recent)
	}
	t.dropOldPeerSends(now)
	if t.recent > 0 && t.prefill == 0 && t.peerPrefill == 0 && len(t.peerSends) == 0 {
		t.recent = max(t.recent, normalCapacity*t.poolRate())
	}
	t.assumeRate(now)
}

// assumeRate sets the rate that is assumed: that of the pool times the target's capacity. A few
// observations in a second scatter, and requests would gather at the engines that seem quickest, so
// the capacity changes in steps, slowly unless the observations show a large change.
func (t *target) assumeRate(now time.Time) {
	pool := t.poolRate()
	if pool == 0 || t.recent == 0 {
		t.learned = t.recent
		return
	}
	relative := t.recent / pool
	if slow := t.capacity.value() < normalCapacity; slow && relative >= normalCapacity || !slow && relative < slowCapacity {
		t.capacity.jump(now, relative)
	}
	t.capacity.update(now, relative)
	t.learned = pool * t.capacity.value()
}

// rate returns the engine's prefill rate in tokens per second: the reported rate, else the rate
// learned for this engine, else the rate learned for its pool.
func (t *target) rate() float64 {
	return cmp.Or(max(0, t.report.PrefillRate), t.learnedRate(), defaultPrefillRate)
}

// learnedRate returns the rate learned for the engine or else for its pool, or zero if there is
// none.
func (t *target) learnedRate() float64 {
	if t.learned > 0 {
		return t.learned
	}
	return t.poolRate()
}

// poolRate returns the rate learned for the target's pool, or zero if there is none.
func (t *target) poolRate() float64 {
	for _, p := range t.pools {
		if p.learned > 0 {
			return p.learned
		}
	}
	return 0
}

// addPrefill adds the prefill of an attempt that is being sent.
func (t *target) addPrefill(now time.Time, tokens int) {
	t.prefill += tokens
	t.unread = t.unreadPrefill(now) + float64(tokens)
	t.unreadAt = now
}

// unreadPrefill returns the part of this router's pending prefill that the target has not read yet,
// in tokens, if it reads without interruption.
func (t *target) unreadPrefill(now time.Time) float64 {
	return min(float64(t.prefill), max(0, t.unread-now.Sub(t.unreadAt).Seconds()*t.rate()))
}

// tokensAhead returns the prefill of all routers that the target is known to have pending.
func (t *target) tokensAhead(now time.Time) float64 {
	peers := max(0, float64(t.peerPrefill)-now.Sub(t.peersAt).Seconds()*t.rate())
	return t.unreadPrefill(now) + peers + t.peerSendPrefill(now)
}

// observePrefill learns from an attempt whose first token arrived.
func (b *Board) observePrefill(now time.Time, a *attempt) {
	t, took := a.target, now.Sub(a.sent)
	if b.disabled.Has(Capacity) {
		b.learnRate(t, a.uncached, took, a.fetched)
		return
	}
	if a.uncached < minLearnTokens || took <= 0 || a.fetched {
		return
	}
	latency := time.Duration(0)
	for _, p := range t.pools {
		p.latency.add(a, took, t.rate())
		latency = p.latency.value()
	}
	t.addRate(a.rateSample(now, latency))
	for _, p := range t.pools {
		if p.learned == 0 || now.Sub(p.learnedAt) >= poolRateInterval {
			b.updatePoolRate(now, p)
		}
	}
}

// rateSample returns the rate observed with the first token of an attempt.
func (a *attempt) rateSample(now time.Time, latency time.Duration) rateSample {
	took := now.Sub(a.sent)
	work := a.ahead + float64(a.uncached)
	reading := (took - min(latency, took/2)).Seconds()
	return rateSample{now, work / reading, a.rateWeight(work/reading, latency)}
}

// rateWeight returns the weight of an observation: the part of the time to first token that the
// target surely spent on this prompt.
func (a *attempt) rateWeight(rate float64, latency time.Duration) float64 {
	own := float64(a.uncached)
	w := own / (own + a.ahead/2 + latency.Seconds()*rate)
	if a.crowded {
		w *= crowdedWeight
	}
	return w
}

// poolRateInterval is the least time between two computations of a pool's rate because of first
// tokens, each of which takes time in proportion to the pool's size. It is short against the time
// in which the rate of most of a pool changes.
const poolRateInterval = 50 * time.Millisecond

// updatePoolRate computes the rate that targets of the pool without observations are assumed to
// have.
func (b *Board) updatePoolRate(now time.Time, p *pool) {
	p.middle, p.learnedAt = 0, now
	if rate := quantileOf(recentRates(p.members), 0.5); rate > 0 && !b.disabled.Has(PoolRate) {
		p.learned = rate
	}
}

// middleRate returns the median rate of the usable members, or of all if none is usable.
func (p *pool) middleRate() float64 {
	if p.middle > 0 {
		return p.middle
	}
	var usable, all []float64
	for _, t := range p.members {
		all = append(all, t.rate())
		if t.usable() {
			usable = append(usable, t.rate())
		}
	}
	p.middle = cmp.Or(quantileOf(usable, 0.5), quantileOf(all, 0.5), defaultPrefillRate)
	return p.middle
}

// forgetMiddleRate has the target's pools compute their median rates anew.
func (t *target) forgetMiddleRate() {
	for _, p := range t.pools {
		p.middle = 0
	}
}

// meanService returns the mean time for which requests occupy a usable member.
func (p *pool) meanService() time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range p.members {
		if t.usable() {
			sum, n = sum+t.service, n+1
		}
	}
	if n == 0 {
		return defaultService
	}
	return sum / time.Duration(n)
}

// recentRates returns the recent rates of targets with observations.
func recentRates(targets []*target) []float64 {
	var rates []float64
	for _, t := range targets {
		if t.recent > 0 {
			rates = append(rates, t.recent)
		}
	}
	return rates
}

// quantileOf returns a quantile of the values, which it sorts, or zero if there are none.
func quantileOf(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// PrefillRate returns a quantile of the prefill rates learned for targets, in tokens per second, or
// zero if there are none.
func (b *Board) PrefillRate(q float64) float64 {
	var rates []float64
	for _, t := range b.targets {
		if t.learned > 0 {
			rates = append(rates, t.learned)
		}
	}
	return quantileOf(rates, q)
}

// fixedLatency learns the part of the time to first token that does not depend on the length of the
// prompt: a round trip and the engine's first step. It is the intercept of a regression of the times
// of prompts that did not wait on their lengths.
type fixedLatency struct{ n, work, took, workWork, workTook float64 }

// Constants of the fixed latency. An observation counts for latencyMemory of the later ones. Prompts
// with more than maxAheadShare of their own length ahead of them, or that took more than
// maxUnexplained times the expected time, have waited.
const (
	latencyMemory   = 0.98
	maxAheadShare   = 0.1
	maxUnexplained  = 2
	maxFixedLatency = 25 * time.Millisecond
)

// add adds an attempt that took the given time at a target with the given rate.
func (l *fixedLatency) add(a *attempt, took time.Duration, rate float64) {
	x, y := float64(a.uncached), took.Seconds()
	if a.ahead > maxAheadShare*x || y > maxUnexplained*(l.value().Seconds()+x/rate) {
		return
	}
	for _, sum := range []*float64{&l.n, &l.work, &l.took, &l.workWork, &l.workTook} {
		*sum *= latencyMemory
	}
	l.n++
	l.work += x
	l.took += y
	l.workWork += x * x
	l.workTook += x * y
}

// value returns the latency, or zero while the lengths of the observed prompts do not differ.
func (l *fixedLatency) value() time.Duration {
	spread := l.n*l.workWork - l.work*l.work
	if spread <= l.work*l.work/100 {
		return 0
	}
	slope := (l.n*l.workTook - l.work*l.took) / spread
	return min(max(0, seconds((l.took-slope*l.work)/l.n)), maxFixedLatency)
}

// Constants of the rate that is learned without regard to waiting: the least prefill, and the weight
// of one observation.
const (
	minLongPrefill       = 1500
	prefillRateSmoothing = 0.2
)

// learnRate updates the prefill rate from an answer's prefill time as a whole. Answers with fetched
// parts are skipped, since their time says little about the rate.
func (b *Board) learnRate(t *target, uncached int, took time.Duration, fetched bool) {
	if uncached < minLongPrefill || took <= 0 || fetched {
		return
	}
	rate := float64(uncached) / took.Seconds()
	t.learned = smooth(t.learned, rate)
	t.forgetMiddleRate()
	if b.disabled.Has(PoolRate) {
		return
	}
	for _, p := range t.pools {
		p.learned = smooth(p.learned, rate)
	}
}

// smooth moves a learned rate towards an observed one. The first observation is taken as it is.
func smooth(learned, seen float64) float64 {
	if learned == 0 {
		return seen
	}
	return learned + prefillRateSmoothing*(seen-learned)
}
