package route

import (
	"fmt"
	"math"
)

// Tally counts answers, and those of them that failed or came several times slower than usual.
type Tally struct{ Answers, Bad int }

func (t Tally) plus(o Tally) Tally  { return Tally{t.Answers + o.Answers, t.Bad + o.Bad} }
func (t Tally) minus(o Tally) Tally { return Tally{t.Answers - o.Answers, t.Bad - o.Bad} }

// RolloutCounts are the answers of both releases since the order.
type RolloutCounts struct{ New, Old Tally }

func (c RolloutCounts) plus(o RolloutCounts) RolloutCounts {
	return RolloutCounts{c.New.plus(o.New), c.Old.plus(o.Old)}
}

func (c RolloutCounts) minus(o RolloutCounts) RolloutCounts {
	return RolloutCounts{c.New.minus(o.New), c.Old.minus(o.Old)}
}

// regressionDetector compares a new release with the old one by Page's cumulative sum of log
// likelihood ratios: of the rate of bad answers that the old release has against one that is
// higher by detectableIncrease. It is never below zero, so that a release that turns bad after
// thousands of good answers is found as soon as one that was bad from the beginning.
type regressionDetector struct {
	score float64
	last  RolloutCounts
}

// The judge's test. A release with the old one's rate passes alarmScore by chance about
// once in e^alarmScore answers. priorBad of priorAnswers keep the old rate off zero while it
// has few answers, and minAnswers are what a release must have given to be sound.
const (
	detectableIncrease = 0.1
	alarmScore         = 14
	soundScore         = alarmScore / 4.0
	minAnswers         = 40
	priorBad           = 0.6
	priorAnswers       = 20
)

func newRegressionDetector() regressionDetector { return regressionDetector{} }

// observe takes the sums of all routers. Where they fell, a router that had counted is not
// known any more; counting goes on from the lower sums.
func (j *regressionDetector) observe(c RolloutCounts) {
	d := c.minus(j.last)
	j.last = c
	if d.New.Answers < 0 || d.New.Bad < 0 || d.Old.Answers < 0 || d.Old.Bad < 0 {
		return
	}
	usual := min(0.8, (float64(c.Old.Bad)+priorBad)/(float64(c.Old.Answers)+priorAnswers))
	worse := usual + detectableIncrease
	good := d.New.Answers - d.New.Bad
	j.score += float64(d.New.Bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	j.score = max(0, j.score)
}

// regressed reports whether the new release is worse than the old one.
func (j *regressionDetector) regressed() bool { return j.score >= alarmScore }

// passed reports whether enough is known of the new release, and nothing speaks against it.
func (j *regressionDetector) passed() bool {
	return j.last.New.Answers >= minAnswers && j.score < soundScore
}

// String tells what the judgement rests on.
func (j *regressionDetector) String() string {
	return fmt.Sprintf("%d of %d answers of the new release bad, %d of %d of the old, score %.1f of %d",
		j.last.New.Bad, j.last.New.Answers, j.last.Old.Bad, j.last.Old.Answers, j.score, alarmScore)
}

// latencyBaseline is how many times the least possible time an answer of the old release takes.
type latencyBaseline struct {
	mean    float64
	answers int
}

// An answer is slow from slowFactor times the usual on, once minBaselineAnswers were seen.
const (
	slowFactor         = 3
	minBaselineAnswers = 20
	baselineWeight     = 0.05
)

func (u *latencyBaseline) slow(factor float64) bool {
	return u.answers >= minBaselineAnswers && factor > slowFactor*u.mean
}

func (u *latencyBaseline) add(factor float64) {
	u.answers++
	u.mean += (factor - u.mean) * max(baselineWeight, 1/float64(u.answers))
}
