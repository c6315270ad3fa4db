package route

import (
	"math"
	"time"
)

// sharedBucket is a token bucket for a rate limit that all routers enforce together, in one unit
// (requests or tokens). Each router keeps its own copy of the common level and deducts the usage
// that the other routers report.
//
// Two alternatives were compared on 90 routers, at 0.56 of a limit of 29,000 tokens a second and
// with prompts of 3,000 tokens on average: equal shares, of which one is smaller than one prompt,
// and shares by the demand at each router. Both refuse requests that the shared bucket admits.
type sharedBucket struct {
	// level is what may be used at once. It is negative after usage above the refill rate.
	level float64
	at    time.Time
	// asked and used measure the demand at this router and what it admitted, urgent the part of the
	// demand that is urgent.
	asked, used, urgent meter
	// others is the sum of the rates that the other routers reported.
	others usageRate
	// rate is the lowest granted rate since the last report of the other routers. joinedAt is when
	// the granted rate last rose by joinGrowth, that is, when this router joined others.
	rate     float64
	joinedAt time.Time
	// startupDebt is deducted from the level if demand exceeds the rate within startupDebtWindow
	// after joinedAt. It is set when routers join and none of them knows the level.
	startupDebt float64
}

// usageRate is the demand for a limit and its use, in the limit's unit per second.
type usageRate struct {
	asked, used float64
	// urgent is the part of asked that is urgent.
	urgent float64
	// level is the mean level of the routers that know theirs; known is false if none does.
	level float64
	known bool
}

// grant is the part of a limit that a group of routers may use together.
type grant struct {
	// rate is in the limit's unit per second; burst is what may be used at once on top of it.
	rate, burst float64
	// whole is set if the group consists of all routers, so that overuse by one of them is made up
	// for by all. alone is set if the group is this router only.
	whole, alone bool
}

// Time constants and bounds of a sharedBucket.
const (
	// demandMeterWindow is the time over which demand is measured, usageMeterWindow the time over
	// which usage is. Usage becomes known later by the length of its window.
	demandMeterWindow = 500 * time.Millisecond
	usageMeterWindow  = 150 * time.Millisecond
	// propagationDelay is the delay after which a router knows what another one admitted: two
	// reports of 250 ms, half of each on average, plus usageMeterWindow.
	propagationDelay = 750 * time.Millisecond
	// levelRecoveryTime is the time in which a level returns to zero while demand exceeds the
	// grant. At 300,000 tokens a second, 390 routers that restarted during a surge used 1.13 times
	// the limit with 3 s, and 1.05 times with 2 s.
	levelRecoveryTime = 2 * time.Second
	// maxDebtBursts bounds how far the level can fall below zero, in bursts.
	maxDebtBursts = 5
)

func newSharedBucket(begun time.Time) sharedBucket {
	// The usage of the previous process of this router is unknown, so the bucket starts empty and
	// fills at the full rate.
	s := sharedBucket{at: begun, asked: newMeter(demandMeterWindow), used: newMeter(usageMeterWindow), urgent: newMeter(demandMeterWindow)}
	// Demand is measured from the start. If it were taken as low until the meter's window is full,
	// routers that restart repeatedly would use 1.06 times the limit.
	s.asked.begun, s.asked.at = begun, begun
	s.urgent.begun, s.urgent.at = begun, begun
	return s
}

// refill adds the tokens granted since the last call, minus the usage of the other routers.
func (s *sharedBucket) refill(now time.Time, g grant) {
	if g.alone {
		s.others = usageRate{}
	}
	if d := now.Sub(s.at); d > 0 {
		s.level += (g.rate - s.others.used) * d.Seconds()
		s.at = now
	}
	if s.rate == 0 || g.rate < s.rate {
		s.rate = g.rate
	}
	s.level = max(-maxDebtBursts*g.burst, min(s.level, g.burst))
}

// mergeOthers sets the rates that the other routers reported. A router that joins others takes over
// the level that they report. If none of them knows the level, all may have started together in the
// middle of a surge: if demand exceeds the rate as soon as it is known, the usage before the start
// is deducted as a debt. Without the debt, 390 routers restarted during a surge used 1.01 times the
// limit.
func (s *sharedBucket) mergeOthers(now time.Time, g grant, reported usageRate) {
	s.refill(now, g)
	s.others = reported
	if s.rate > 0 && g.rate >= joinGrowth*s.rate {
		s.startupDebt, s.joinedAt = 0, now
		if reported.known {
			s.level = reported.level
		} else {
			s.startupDebt = (g.rate - s.rate) * startupDebtTime.Seconds()
		}
	}
	s.rate = g.rate
	if s.startupDebt == 0 {
		return
	}
	if surge := (reported.asked+s.asked.rate(now))/g.rate - 1; surge > 0 {
		s.level -= min(surge, 1) * s.startupDebt
		s.startupDebt = 0
	}
	if now.Sub(s.joinedAt) > startupDebtWindow {
		s.startupDebt = 0
	}
}

// joinGrowth is the least growth of the granted rate that counts as joining other routers.
// startupDebtTime is the debt of routers that know no level, as a time at the additional rate.
// Demand is known within startupDebtWindow, which covers two reports and demandMeterWindow.
const (
	joinGrowth        = 1.5
	startupDebtTime   = 2 * time.Second
	startupDebtWindow = time.Second
)

// levelKnown reports whether the level is reliable enough to report to other routers.
func (s *sharedBucket) levelKnown(now time.Time) bool { return now.Sub(s.joinedAt) > propagationDelay }

// tryTake charges a cost, or reports false without charging it. sample is a random number in [0, 1).
// urgent is set for an urgent request.
//
// While demand is below the rate, or the level lasts until all routers know of it, a request is
// admitted if the level covers its cost. Otherwise it is admitted with the probability at which all
// routers together use exactly the rate, adjusted so that the level returns to zero within
// levelRecoveryTime. Urgent requests go first. A probability that is not a number admits nothing.
func (s *sharedBucket) tryTake(now time.Time, g grant, cost, sample float64, urgent bool) bool {
	s.refill(now, g)
	demand := usageRate{asked: s.others.asked + s.asked.rate(now), urgent: s.others.urgent + s.urgent.rate(now)}
	s.asked.add(now, cost)
	if urgent {
		s.urgent.add(now, cost)
	}
	if !s.covers(g, cost, demand.asked) && !(sample < s.admitProbability(g, cost, demand, urgent)) {
		return false
	}
	s.charge(now, cost)
	return true
}

// lessUrgentShare is the least share of a limit that less urgent requests get while
// they ask for it, so that they do not starve.
const lessUrgentShare = 0.1

// admitProbability returns the probability with which a request is admitted while the limit is
// exceeded, given the other demand.
func (s *sharedBucket) admitProbability(g grant, cost float64, demand usageRate, urgent bool) float64 {
	demand.asked += cost / demandMeterWindow.Seconds()
	if urgent {
		demand.urgent += cost / demandMeterWindow.Seconds()
	}
	rate := g.rate + s.level/levelRecoveryTime.Seconds()
	rest := demand.asked - demand.urgent
	switch {
	case demand.urgent <= 0 || rest <= 0:
		return rate / demand.asked
	case urgent:
		return (rate - min(lessUrgentShare*rate, rest)) / demand.urgent
	}
	return max(lessUrgentShare*rate, rate-demand.urgent) / rest
}

// allows reports whether a cost may be charged given the other demand, in units per second. It
// charges nothing.
func (s *sharedBucket) allows(g grant, cost, sample, asked float64) bool {
	return s.covers(g, cost, asked) || sample < s.admitProbability(g, cost, usageRate{asked: asked}, false)
}

// covers reports whether the level covers a cost and what is admitted until all routers know of it.
func (s *sharedBucket) covers(g grant, cost, asked float64) bool {
	need := cost
	if g.whole {
		// Without this cap a request larger than the burst would always be refused.
		need = min(cost, g.burst)
	}
	reserve := max(0, asked-g.rate) * propagationDelay.Seconds()
	return s.level >= need+reserve
}

// charge deducts a cost from the level.
func (s *sharedBucket) charge(now time.Time, cost float64) {
	s.level -= cost
	s.used.add(now, cost)
}

// refund returns a charge that was not used.
func (s *sharedBucket) refund(now time.Time, cost float64) {
	s.level += cost
	s.used.add(now, -cost)
}

// wait returns the time until the level covers a cost, if nothing else uses the limit meanwhile.
func (s *sharedBucket) wait(g grant, cost float64) time.Duration {
	missing := min(cost, g.burst) - s.level
	if missing <= 0 || g.rate <= 0 {
		return 0
	}
	return time.Duration(math.Min(missing/g.rate, maxLimitWait.Seconds()) * float64(time.Second))
}

// maxLimitWait bounds the Retry-After of a request refused for a limit.
const maxLimitWait = time.Minute

// flow returns the rates that this router reports to the others.
func (s *sharedBucket) flow(now time.Time) usageRate {
	f := usageRate{asked: s.asked.rate(now), used: s.used.windowRate(now), urgent: s.urgent.rate(now), known: s.levelKnown(now)}
	if f.known {
		f.level = s.level
	}
	return f
}
