package route

import (
	"math"
	"time"
)

// sharedBucket is an organisation's limit in one unit, requests or tokens, as one router
// keeps it. All routers that tell each other what they let through keep one account
// together: each knows the account less what the others used since their last words.
//
// Weighed against it, over a fleet of 90 routers (TestLimitStrategies): equal parts, of
// which one is smaller than one prompt, and parts by what each router was asked. At 0.56 of
// a limit of 29,000 tokens a second, with prompts of 3,000 on average, those refuse what
// the account lets through.
type sharedBucket struct {
	// level is what may be used at once, below zero after more was used than came in.
	level float64
	at    time.Time
	// asked and used are what this router was asked and let through.
	asked, used meter
	// others is what the other routers told of the same.
	others usageRate
	// rate is the least that was granted since others were heard of, joinedAt when it rose then.
	rate     float64
	joinedAt time.Time
	// owed is what those that met and know no level owe if a surge shows until startupDebtWindow
	// after joinedAt.
	startupDebt float64
}

// usageRate is a use of a limit, in its unit a second.
type usageRate struct {
	asked, used float64
	// level is the mean of the levels of those routers that know theirs, if any does.
	level float64
	known bool
}

// grant is what some routers may use of a limit together.
type grant struct {
	// rate is in the limit's unit a second, burst what may be used at once on top of it.
	rate, burst float64
	// whole says that these are all routers: what one of them uses too much of, all
	// make up for. Alone says that it is this one, which hears of no other.
	whole, alone bool
}

// The times of an allowance.
const (
	// demandMeterWindow is the time over which demand is measured; usageMeterWindow that over which use
	// is, which makes it known later by as much.
	demandMeterWindow = 500 * time.Millisecond
	usageMeterWindow  = 150 * time.Millisecond
	// propagationDelay is how late a router knows what another let through: two reports of 250 ms
	// on the way, half of each on average, and usageMeterWindow.
	propagationDelay = 750 * time.Millisecond
	// levelRecoveryTime is how soon a level is brought back to where it belongs while more is asked
	// than is granted. With 3 s, 390 routers that began again in a surge used 1.13 times what
	// all may, with 2 s 1.05 (at 300,000 tokens a second).
	levelRecoveryTime = 2 * time.Second
	// maxDebtBursts bounds how long an allowance makes up for what it used too much, in bursts.
	maxDebtBursts = 5
)

func newSharedBucket(begun time.Time) sharedBucket {
	// What the last process of the same router used is not known here, so nothing is
	// there at the start; it fills at the full rate.
	a := sharedBucket{at: begun, asked: newMeter(demandMeterWindow), used: newMeter(usageMeterWindow)}
	// What is asked is measured from the start on: taken for low until the meter is full,
	// routers that began again and again used 1.06 times what all may (TestLimitOverRestarts).
	a.asked.begun, a.asked.at = begun, begun
	return a
}

// refill adds what came in since the last call, less what the others used.
func (a *sharedBucket) refill(now time.Time, g grant) {
	if g.alone {
		a.others = usageRate{}
	}
	if d := now.Sub(a.at); d > 0 {
		a.level += (g.rate - a.others.used) * d.Seconds()
		a.at = now
	}
	if a.rate == 0 || g.rate < a.rate {
		a.rate = g.rate
	}
	a.level = max(-maxDebtBursts*g.burst, min(a.level, g.burst))
}

// mergeOthers takes what the other routers told of their use. A router that meets others has the
// level that they tell. Where none knows it, all may have begun together in the middle of a
// surge: if more is asked than the rate once they know what is asked, what used the limit before
// them left a debt. Without it, 390 that were started again in a surge used 1.01 times what
// all may (TestLimitBoundAgain).
func (a *sharedBucket) mergeOthers(now time.Time, g grant, told usageRate) {
	a.refill(now, g)
	a.others = told
	if a.rate > 0 && g.rate >= joinGrowth*a.rate {
		a.startupDebt, a.joinedAt = 0, now
		if told.known {
			a.level = told.level
		} else {
			a.startupDebt = (g.rate - a.rate) * startupDebtTime.Seconds()
		}
	}
	a.rate = g.rate
	if a.startupDebt == 0 {
		return
	}
	if surge := (told.asked+a.asked.rate(now))/g.rate - 1; surge > 0 {
		a.level -= min(surge, 1) * a.startupDebt
		a.startupDebt = 0
	}
	if now.Sub(a.joinedAt) > startupDebtWindow {
		a.startupDebt = 0
	}
}

// The bounds of meeting others: joinGrowth is how much more is granted then, at the least.
// What is owed by those that know no level is so much of the rate; what is asked is known
// within startupDebtWindow, two reports and demandMeterWindow.
const (
	joinGrowth        = 1.5
	startupDebtTime   = 2 * time.Second
	startupDebtWindow = time.Second
)

// levelKnown reports whether the level can be told to others.
func (a *sharedBucket) levelKnown(now time.Time) bool { return now.Sub(a.joinedAt) > propagationDelay }

// tryTake charges a cost or reports that it can't. Draw is a number from 0 to 1.
//
// Where what is asked stays below the rate, or the level lasts until all have heard of
// it, a request goes if the level covers it. Else each goes with the chance with which all
// together use the rate, and the level goes back to zero over levelRecoveryTime.
func (a *sharedBucket) tryTake(now time.Time, g grant, cost, draw float64) bool {
	a.refill(now, g)
	asked := a.others.asked + a.asked.rate(now)
	a.asked.add(now, cost)
	if !a.allows(g, cost, draw, asked) {
		return false
	}
	a.charge(now, cost)
	return true
}

// allows reports whether a cost may be charged beside what else is asked for, in its unit a
// second, and charges nothing.
func (a *sharedBucket) allows(g grant, cost, draw, asked float64) bool {
	need := cost
	if g.whole {
		// A request larger than the burst is not refused for ever.
		need = min(cost, g.burst)
	}
	reserve := max(0, asked-g.rate) * propagationDelay.Seconds()
	if a.level >= need+reserve {
		return true
	}
	asked += cost / demandMeterWindow.Seconds()
	return draw < (g.rate+a.level/levelRecoveryTime.Seconds())/asked
}

// charge takes a cost off.
func (a *sharedBucket) charge(now time.Time, cost float64) {
	a.level -= cost
	a.used.add(now, cost)
}

// refund takes a charge back that was not used.
func (a *sharedBucket) refund(now time.Time, cost float64) {
	a.level += cost
	a.used.add(now, -cost)
}

// wait is how long it takes until the level covers a cost, if nobody uses it meanwhile.
func (a *sharedBucket) wait(g grant, cost float64) time.Duration {
	lacks := min(cost, g.burst) - a.level
	if lacks <= 0 || g.rate <= 0 {
		return 0
	}
	return time.Duration(math.Min(lacks/g.rate, maxLimitWait.Seconds()) * float64(time.Second))
}

// maxLimitWait bounds the time that a caller is told to stay away for a limit's sake.
const maxLimitWait = time.Minute

// flow returns what this router tells the others.
func (a *sharedBucket) flow(now time.Time) usageRate {
	f := usageRate{asked: a.asked.rate(now), used: a.used.windowRate(now), known: a.levelKnown(now)}
	if f.known {
		f.level = a.level
	}
	return f
}
