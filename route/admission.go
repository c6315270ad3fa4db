package route

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
)

// Admission decides for a queued request with a stated aim whether to send it, to let it wait, or
// to refuse it. The decision compares the aim with the predicted time to first token at each
// candidate, which includes the prefill that all routers have pending there. Predictions are
// derived from rates and recent sends, so reports that arrive late shift them by at most what was
// sent meanwhile.

// admitInterval is the time after which a request without a suitable candidate is compared with
// all targets of its pool again. It is short against the aims of callers and bounds the work for
// requests that wait.
const admitInterval = 50 * time.Millisecond

// AdmissionStats counts the decisions of admission.
type AdmissionStats struct {
	// Refused counts requests that no target was predicted to answer in time.
	Refused int
	// SentLate counts requests that were sent nevertheless, because they delayed no others.
	SentLate int
}

// Admissions returns the decisions of admission since the start.
func (b *Board) Admissions() AdmissionStats { return b.admissions }

// outlook summarizes the predictions for the candidates of one placement.
type outlook struct {
	candidates int
	// withMemory is the number of candidates whose memory has space for the request.
	withMemory int
	// idle is set if a candidate has nothing to compute, as far as is known.
	idle bool
	// inTime is set if the answer is predicted to begin in time at a candidate, which may be full.
	inTime bool
	// best is the candidate with the least predicted time to first token, first that time.
	best  candidate
	first time.Duration
}

// note adds a candidate.
func (o *outlook) note(c *candidate, first time.Duration, memory, inTime bool) {
	if o.candidates == 0 || first < o.first {
		o.best, o.first = *c, first
	}
	o.candidates++
	if memory {
		o.withMemory++
	}
	o.inTime = o.inTime || inTime
	o.idle = o.idle || memory && c.wait == 0
}

// judgesAim reports whether admission decides about the request. An answer that has begun, also one that its
// caller resumes, is continued in any case, since giving up would also waste the part that was delivered.
func (b *Board) judgesAim(r *request) bool {
	return r.Model != nil && r.hasAim() && !r.continues() && !b.disabled.Has(AimAdmission)
}

// hasAim reports whether the configuration states an aim for the request.
func (r *request) hasAim() bool { return r.Aim > 0 && !r.AimAssumed }

// firstTokenIn returns the predicted time until the answer begins at the candidate, corrected by
// how recent predictions compared with the answers.
func (b *Board) firstTokenIn(now time.Time, p *pool, c *candidate, r *request) time.Duration {
	return c.transfer + p.correct(now, c.wait+b.loadOf(now, p).unseen+c.prefill(r))
}

// inTime reports whether the answer is predicted to begin within the request's aim.
func (r *request) inTime(now time.Time, first time.Duration) bool {
	return !now.Add(first).After(r.arrived.Add(r.Aim))
}

// chooseAdmitted places a request. If the sampled candidates of a large pool do not suffice, it
// compares all targets from time to time, and then decides what becomes of a request that none of
// them is predicted to answer in time.
func (b *Board) chooseAdmitted(now time.Time, p *pool, r *request) (c *candidate, extra time.Duration, v admission) {
	c, extra = b.choose(now, p, r)
	if !b.judgesAim(r) {
		return c, extra, admitWait
	}
	if !r.counted && r.outlook.candidates > 0 {
		b.countDemand(now, p, r)
		if !b.admitsJointly(now, p, r) {
			return nil, 0, admitUnshared
		}
	}
	if c != nil || now.Before(r.admitAt) {
		return c, extra, admitWait
	}
	r.admitAt = now.Add(admitInterval)
	r.scanAll = true
	defer func() { r.scanAll = false }()
	if c, extra = b.choose(now, p, r); c != nil {
		return c, extra, admitWait
	}
	o := &r.outlook
	switch {
	case o.withMemory == 0 || o.inTime:
		// Predictions do not tell when memory becomes free, so the queue deadline decides.
		return nil, 0, admitWait
	case o.idle, b.sparesOthers(now, p, r):
		// An engine that would otherwise be idle is used in any case, since a prediction that is
		// too high is corrected only by answers.
		return nil, 0, admitLate
	}
	return nil, 0, admitNever
}

// admission is what becomes of a request without a suitable candidate.
type admission int

const (
	// admitWait means that a target may become free in time.
	admitWait admission = iota
	// admitLate means that the answer will be late, but that serving it delays no others.
	admitLate
	// admitUnshared means that the request is not among those admitted to a saturated pool.
	admitUnshared
	// admitNever means that serving the request would make others late.
	admitNever
)

// chooseLate returns the best candidate with capacity, however late its answer would begin. A request
// that would delay others goes only to an engine that is idle.
func (b *Board) chooseLate(now time.Time, p *pool, r *request) *candidate {
	r.scanAll, r.lateAllowed, r.idleOnly = true, true, r.outlook.idle && !b.sparesOthers(now, p, r)
	defer func() { r.scanAll, r.lateAllowed, r.idleOnly = false, false, false }()
	c, _ := b.choose(now, p, r)
	return c
}

// sparesOthers reports whether requests that arrive after this one is sent still begin in time at
// the average engine, judged by the most urgent aim of the pool and the usual prefill.
func (b *Board) sparesOthers(now time.Time, p *pool, r *request) bool {
	load := b.loadOf(now, p)
	if load.capacity == 0 {
		return false
	}
	after := load.wait + seconds(float64(r.outlook.best.uncached(r))/load.capacity)
	aim := r.Aim
	if p.urgentAim > 0 {
		aim = min(aim, p.urgentAim)
	}
	return p.correct(now, after)+b.urgentPrefill(now, p) <= aim
}

// urgentAims returns, for each pool, the shortest aim that a configuration states for its requests.
func urgentAims(cfg *policy.Config) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, rt := range cfg.Routes {
		pools := []string{rt.Pool}
		for _, s := range rt.Split {
			pools = append(pools, s.Pool)
		}
		for _, name := range pools {
			if aim, ok := out[name]; rt.Aim > 0 && (!ok || time.Duration(rt.Aim) < aim) {
				out[name] = time.Duration(rt.Aim)
			}
		}
	}
	return out
}

// crowded reports whether so many requests are sent that routers choose the same engine before they
// know of each other's choices.
func (b *Board) crowded(now time.Time, p *pool) bool {
	return b.routers > 1 && !b.disabled.Has(SpreadChoices) && b.loadOf(now, p).wait > minForecast
}

// spread returns the best of spreadSamples random candidates that have at least as much of the prompt
// cached as the best one, no higher penalty, and were not tried. All routers know about the same
// loads, and if each of them chose the best target, it would be overloaded before they know.
func (b *Board) spread(cs []candidate, best *candidate, r *request) *candidate {
	most, penalty, preferred, n := best.uncached(r), best.penalty, best.target, 0
	for i := range cs {
		if c := &cs[i]; c.uncached(r) <= most && c.penalty <= penalty && (!r.tried[c.target.addr] || c.target == preferred) {
			cs[n], cs[i] = cs[i], cs[n]
			n++
		}
	}
	for i := range min(spreadSamples, n) {
		j := i + b.rng.IntN(n-i)
		cs[i], cs[j] = cs[j], cs[i]
	}
	return b.place(b.rng, cs[:min(spreadSamples, n)])
}

// spreadSamples is the number of candidates of which the best is chosen. A few avoid most of the
// imbalance of a random choice.
const spreadSamples = 3

// leavesRoom reports whether the most urgent requests to the pool would still be answered in time
// by the candidate if the request were sent there. A candidate without a backlog always gets the
// request, since no prompt could be computed otherwise that takes longer than the most urgent aim.
func (b *Board) leavesRoom(now time.Time, p *pool, c *candidate, r *request) bool {
	if p.urgentAim == 0 || r.Aim <= p.urgentAim || b.disabled.Has(UrgentRoom) || c.wait <= minForecast {
		return true
	}
	wait := c.wait + b.loadOf(now, p).unseen
	return p.correct(now, wait+c.prefill(r))+b.urgentPrefill(now, p) <= p.urgentAim
}

// refuseLate refuses a request that no target is predicted to answer in time.
func (b *Board) refuseLate(now time.Time, p *pool, r *request) []Action {
	b.admissions.Refused++
	o := &r.outlook
	return b.refuse(now, r, CauseOverload, fmt.Sprintf(
		"no target is predicted to answer in time: the first of %d in %s, %s after the aim; %s",
		o.candidates, o.first.Round(time.Millisecond), now.Add(o.first).Sub(r.arrived.Add(r.Aim)).Round(time.Millisecond),
		o.best.ahead(now)+" at "+o.best.target.name()))
}

// noteSentLate records that a request is sent although its answer is predicted to be late.
func (b *Board) noteSentLate(r *request) {
	b.admissions.SentLate++
	b.emit(event.Event{
		Code: event.RequestSentLate, Request: r.ID, Org: r.Org, Route: r.Route, Tokens: r.promptTokens(),
		Detail: fmt.Sprintf("predicted first token in %s, aim %s", r.outlook.first.Round(time.Millisecond), r.Aim),
	})
}

// ahead describes the prefill that is pending at the candidate, and the age of the loads that
// peers reported.
func (c *candidate) ahead(now time.Time) string {
	text := fmt.Sprintf("%.0f tokens ahead", c.wait.Seconds()*c.target.rate())
	if age := now.Sub(c.target.peersAt); !c.target.peersAt.IsZero() {
		text += fmt.Sprintf(", peers' loads %s old", age.Round(time.Millisecond))
	}
	return text
}

// Suspected reports whether a target is known not to respond.
func (b *Board) Suspected(addr netip.AddrPort) bool {
	t, ok := b.targets[addr]
	return !ok || t.failing
}

// Bounds of the correction of predictions. Predictions below minForecast are not compared, since
// the network takes a large part of such short times. The correction stays within a factor that
// covers wrong prefill rates, and does not follow outliers.
const (
	forecastSamples = 31
	// minForecastSamples is the number of answers from which predictions are corrected.
	minForecastSamples = 7
	forecastMaxAge     = 10 * time.Second
	minForecast        = 50 * time.Millisecond
	minCorrection      = 1.0 / 3
	maxCorrection      = 2.0
)

// forecasts compares predicted with actual times to first token of recent answers.
type forecasts struct {
	samples [forecastSamples]forecastSample
	next    int
	// median is the median of the ratios at the last change.
	median float64
	at     time.Time
}

type forecastSample struct {
	at    time.Time
	ratio float64
}

// observe adds an answer.
func (f *forecasts) observe(now time.Time, predicted, actual time.Duration) {
	if predicted < minForecast {
		return
	}
	f.samples[f.next%forecastSamples] = forecastSample{now, actual.Seconds() / predicted.Seconds()}
	f.next++
	var ratios []float64
	for _, s := range f.samples {
		if !s.at.IsZero() && now.Sub(s.at) <= forecastMaxAge {
			ratios = append(ratios, s.ratio)
		}
	}
	if len(ratios) < minForecastSamples {
		return
	}
	slices.Sort(ratios)
	f.median, f.at = ratios[len(ratios)/2], now
}

// factor returns by what predictions are multiplied.
func (f *forecasts) factor(now time.Time) float64 {
	if f.at.IsZero() || now.Sub(f.at) > forecastMaxAge {
		return 1
	}
	return min(max(f.median, minCorrection), maxCorrection)
}

// correct corrects a prediction by the pool's recent answers.
func (p *pool) correct(now time.Time, predicted time.Duration) time.Duration {
	return seconds(predicted.Seconds() * p.forecasts.factor(now))
}
