package route

import (
	"fmt"
	"time"

	"github.com/pathhead/pathhead/event"
)

// While a pool's engines have a backlog that leaves its most urgent requests too little of their aim,
// each router admits requests with the probability at which all routers together admit what the
// engines can compute. The rate is divided between priorities, the more urgent first, and within
// each fairly between organisations.

// Constants of joint admission.
const (
	// backlogRecovery is the time in which the joint backlog returns to what the most urgent aim
	// allows.
	backlogRecovery = time.Second
	// sharesInterval is how long shares are used before they are computed again.
	sharesInterval = 20 * time.Millisecond
	// busyFraction is the part of the saturating wait from which routers report their demand by
	// organisation, so that shares are known once the pool is saturated.
	busyFraction = 0.125
	// leastShare is the part of a pool that less urgent requests get in the long run.
	leastShare = 0.2
)

// pressure returns the predicted wait at the engines of a pool, and the wait at which it is
// saturated: half of what the most urgent aim leaves beside the usual prefill of such a request.
func (b *Board) pressure(now time.Time, p *pool) (wait, saturating time.Duration) {
	load := b.loadOf(now, p)
	return p.correct(now, load.wait), (p.urgentAim - b.urgentPrefill(now, p)) / 2
}

// saturationBounds returns the waits at which admission by shares begins and ends: before the most
// urgent requests are late, and once the backlog is mostly gone.
func saturationBounds(saturating time.Duration) (begin, end time.Duration) {
	return saturating / 2, saturating / 4
}

// saturated reports whether requests to a pool are admitted by shares.
func (b *Board) saturated(now time.Time, p *pool) bool {
	if p.urgentAim == 0 || b.disabled.Has(JointAdmission) {
		p.queue.urgentFirst = false
		return false
	}
	wait, saturating := b.pressure(now, p)
	begin, end := saturationBounds(saturating)
	was := p.queue.urgentFirst
	p.queue.urgentFirst = wait >= begin || was && wait >= end
	if p.queue.urgentFirst == was {
		return was
	}
	e := event.Event{Code: event.PoolSaturated, Detail: fmt.Sprintf(
		"pool %s: a mean wait of %s, of %s at most", p.compiled.Name, wait.Round(time.Millisecond), begin.Round(time.Millisecond))}
	if was {
		e.Code, e.Detail = event.PoolDrained, fmt.Sprintf(
			"pool %s: a mean wait of %s, below %s", p.compiled.Name, wait.Round(time.Millisecond), end.Round(time.Millisecond))
	}
	b.emit(e)
	return !was
}

// busy reports whether a pool may soon be saturated.
func (b *Board) busy(now time.Time, p *pool) bool {
	if p.urgentAim == 0 || b.disabled.Has(JointAdmission) {
		return false
	}
	wait, saturating := b.pressure(now, p)
	return wait >= time.Duration(busyFraction*float64(saturating))
}

// admitsJointly reports whether a request may wait for an engine. It is decided once for each
// request.
func (b *Board) admitsJointly(now time.Time, p *pool, r *request) bool {
	if !b.saturated(now, p) {
		return true
	}
	r.share = b.shareOf(now, p, b.demandKeyOf(r))
	if r.share >= 1 || b.rng.Float64() < r.share {
		return true
	}
	p.joint.refused[r.Priority]++
	return false
}

// admittedRates returns the prefill that may be admitted to a pool, in tokens per second: of the most
// urgent requests, and of the others, which get what the urgent ones leave, and work off an excessive
// backlog within backlogRecovery.
func (b *Board) admittedRates(now time.Time, p *pool) (urgent, others float64) {
	capacity := b.loadOf(now, p).capacity
	wait, saturating := b.pressure(now, p)
	asked := p.asked.total(now, b.limitSharers.value).Urgent
	urgent = capacity * (1 - leastShare)
	others = max(capacity-asked, leastShare*capacity)
	others += capacity * (saturating - wait).Seconds() / backlogRecovery.Seconds()
	return urgent, max(0, others)
}

// shareOf returns the admitted part of a demand, from 0 to 1.
func (b *Board) shareOf(now time.Time, p *pool, key demandKey) float64 {
	j := &p.joint
	if j.shares == nil || now.Sub(j.sharesAt) >= sharesInterval {
		j.shares, j.sharesAt = b.computeShares(now, p), now
	}
	if s, ok := j.shares[key]; ok {
		return s
	}
	if s, ok := j.shares[key.unnamed()]; ok {
		return s
	}
	return 1
}

// computeShares divides the admitted rates between the demands at all routers.
func (b *Board) computeShares(now time.Time, p *pool) map[demandKey]float64 {
	joint := p.joint.joint(now)
	scale := b.unreportedScale(now, p, joint)
	var urgent, others []shareDemand
	for key, asked := range joint {
		d := shareDemand{key.org, key.priority, b.demandWeight(key, joint), scale * asked}
		if key.urgent {
			urgent = append(urgent, d)
		} else {
			others = append(others, d)
		}
	}
	out := make(map[demandKey]float64, len(joint))
	urgentRate, othersRate := b.admittedRates(now, p)
	addShares(out, urgentRate, urgent, true)
	addShares(out, othersRate, others, false)
	return out
}

// addShares adds the admitted parts of demands that share a rate.
func addShares(out map[demandKey]float64, rate float64, demands []shareDemand, urgent bool) {
	for i, admitted := range fairShares(rate, demands) {
		d := demands[i]
		out[demandKey{d.org, d.priority, urgent}] = admitted / max(d.asked, minPoolDemand)
	}
}

// unreportedScale returns the factor by which demand at all routers exceeds the reported demand by
// organisation, which routers report only while a pool is busy.
func (b *Board) unreportedScale(now time.Time, p *pool, joint map[demandKey]float64) float64 {
	sum := 0.0
	for _, asked := range joint {
		sum += asked
	}
	total := p.asked.total(now, b.limitSharers.value)
	if sum <= 0 {
		return 1
	}
	return max(1, (total.Urgent+total.Other)/sum)
}

// demandWeight returns the weight of a demand. The demand without an organisation weighs as much as
// all organisations that are not listed at its priority.
func (b *Board) demandWeight(key demandKey, joint map[demandKey]float64) float64 {
	if key.org != "" {
		return b.weight(key.org)
	}
	sum := 0.0
	for _, o := range b.snap.Config.Organisations {
		if _, listed := joint[demandKey{o.Name, key.priority, key.urgent}]; !listed {
			sum += b.weight(o.Name)
		}
	}
	return max(1, sum)
}

// refuseUnshared refuses a request that is not among those admitted to a saturated pool.
func (b *Board) refuseUnshared(now time.Time, p *pool, r *request) []Action {
	wait, saturating := b.pressure(now, p)
	begin, end := saturationBounds(saturating)
	return b.refuse(now, r, CauseOverload, fmt.Sprintf(
		"pool %s is saturated: a mean wait of %s, from %s until below %s; %.2f of what the organisation asks at priority %d is admitted",
		r.Pool, wait.Round(time.Millisecond), begin.Round(time.Millisecond), end.Round(time.Millisecond), r.share, r.Priority))
}
