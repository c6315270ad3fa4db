package route

import (
	"fmt"
	"math"
)

// Tally counts answers, and those that failed or were several times slower than usual.
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

// regressionDetector compares a new release with the old one by Page's cumulative sum (CUSUM) test.
// It sums the log likelihood ratios of the old release's rate of bad answers against a rate that is
// higher by detectableIncrease. The sum never falls below zero, so a release that turns bad after
// thousands of good answers is detected as fast as one that is bad from the start.
type regressionDetector struct {
	score float64
	last  RolloutCounts
}

// Parameters of the test. A release with the old one's rate exceeds alarmScore by chance about once
// in e^alarmScore answers. priorBad out of priorAnswers keep the estimated old rate above zero
// while there are few answers. A release needs minAnswers to pass.
const (
	detectableIncrease = 0.1
	alarmScore         = 14
	soundScore         = alarmScore / 4.0
	minAnswers         = 40
	priorBad           = 0.6
	priorAnswers       = 20
)

func newRegressionDetector() regressionDetector { return regressionDetector{} }

// observe updates the score with the sums of all routers. If a sum fell, a router that contributed
// to it is no longer known, and counting continues from the lower sum.
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

// passed reports whether the new release gave enough answers without evidence against it.
func (j *regressionDetector) passed() bool {
	return j.last.New.Answers >= minAnswers && j.score < soundScore
}

// String describes the evidence.
func (j *regressionDetector) String() string {
	return fmt.Sprintf("%d of %d answers of the new release bad, %d of %d of the old, score %.1f of %d",
		j.last.New.Bad, j.last.New.Answers, j.last.Old.Bad, j.last.Old.Answers, j.score, alarmScore)
}

// latencyBaseline is the mean latency of the old release's answers, as a multiple of the least
// possible latency.
type latencyBaseline struct {
	mean    float64
	answers int
}

// An answer is slow if it exceeds slowFactor times the baseline, which requires minBaselineAnswers.
// baselineWeight is the least weight of a new answer in the mean.
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
