package route

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rateEstimate is a way to learn an engine's rate from observations, in order of time.
type rateEstimate func(o *attempt, at time.Time) float64

// rateEstimates returns the ways that are compared.
func rateEstimates() map[string]func() rateEstimate {
	return map[string]func() rateEstimate{
		"power mean": func() rateEstimate {
			e := &target{}
			return func(o *attempt, at time.Time) float64 {
				if o.uncached >= minLearnTokens {
					e.addRate(o.rateSample(at, engineLatency))
				}
				return e.recent
			}
		},
		"upper quantile": func() rateEstimate {
			var s rateSamples
			learned := 0.0
			return func(o *attempt, at time.Time) float64 {
				if x := o.rateSample(at, engineLatency); o.uncached >= minLearnTokens {
					if learned > 0 {
						x.rate = min(x.rate, maxRateRise*learned)
					}
					s = append(s.expire(at), x)
					learned = s.quantile(0.7)
				}
				return learned
			}
		},
		"idle targets only": func() rateEstimate {
			learned := 0.0
			return func(o *attempt, at time.Time) float64 {
				if own := float64(o.uncached); own >= minLearnTokens && o.ahead < own/10 {
					learned = smooth(learned, own/(at.Sub(o.sent)-engineLatency).Seconds())
				}
				return learned
			}
		},
		"whole time": func() rateEstimate {
			learned := 0.0
			return func(o *attempt, at time.Time) float64 {
				if o.uncached >= minLongPrefill {
					learned = smooth(learned, float64(o.uncached)/at.Sub(o.sent).Seconds())
				}
				return learned
			}
		},
	}
}

// quantile returns a weighted quantile of the observed rates.
func (s rateSamples) quantile(q float64) float64 {
	sorted := slices.SortedFunc(slices.Values(s), func(a, b rateSample) int { return cmp.Compare(a.rate, b.rate) })
	total, below := 0.0, 0.0
	for _, o := range sorted {
		total += o.weight
	}
	for _, o := range sorted {
		if below += o.weight; below >= q*total {
			return o.rate
		}
	}
	return 0
}

// TestRateEstimates compares ways to learn the rates of engines of unequal speed, of which some are
// slow at moments, under rising load. The chosen way has to tell engines apart that differ by the
// factor from which homes go by capacity.
func TestRateEstimates(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]float64{"light": 0.3, "busy": 0.6, "overload": 0.9} {
		t.Run(name, func(t *testing.T) {
			skipLargeFleet(t, engineFleetRouters)
			speeds := make([]float64, 12)
			for i := range speeds {
				speeds[i] = engineSpeed * []float64{0.55, 1.2, 1.2, 1.2}[i%4]
			}
			f := newEngineFleet(t, engineFleetRouters, speeds, 1)
			f.slowShare = 0.15
			f.play(15*time.Second, load*float64(len(speeds))*engineSpeed/promptRead)
			for name, newEstimate := range rateEstimates() {
				estimates := make([]rateEstimate, len(speeds))
				for i := range estimates {
					estimates[i] = newEstimate()
				}
				var ratios []float64
				for _, o := range f.observed {
					if rate := estimates[o.engine](o.attempt, o.at); o.at.Sub(epoch) > 5*time.Second {
						ratios = append(ratios, rate/speeds[o.engine])
					}
				}
				slices.Sort(ratios)
				n := len(ratios)
				t.Logf("%s: learned to true rate: 0.05 quantile %.2f, median %.2f, 0.95 quantile %.2f", name, ratios[n/20], ratios[n/2], ratios[n-n/20])
				if name == "power mean" {
					require.InDelta(t, 1, ratios[n/2], 0.25)
				}
			}
		})
	}
}

// rateHistory observes one engine of a fleet: ten prompts a second of 200 to 3,000 tokens.
type rateHistory struct {
	*partsBoard
	rng    *rand.Rand
	engine *target
}

func newRateHistory(t *testing.T, engines int) *rateHistory {
	h := &rateHistory{partsBoard: newPartsBoard(t, engines), rng: rand.New(rand.NewPCG(1, 1))}
	for _, e := range h.b.targets {
		e.report.PrefillRate = 0
	}
	h.engine = h.b.targets[testAddr(0)]
	return h
}

// observe observes one prompt that an engine of this speed reads at once.
func (h *rateHistory) observe(tokens int, speed float64) {
	h.now = h.now.Add(100 * time.Millisecond)
	a := &attempt{target: h.engine, uncached: tokens, sent: h.now.Add(-engineLatency - seconds(float64(tokens)/speed))}
	h.b.observePrefill(h.now, a)
}

func (h *rateHistory) play(d time.Duration, speed float64) {
	for range d / (100 * time.Millisecond) {
		h.observe(200+h.rng.IntN(2800), speed)
	}
}

// TestRateChanges checks that a lasting change of an engine's speed is known within two seconds in
// both directions, and that a slow moment or a single outlier does not count as one.
func TestRateChanges(t *testing.T) {
	t.Parallel()
	const near = 0.25 * engineSpeed
	for name, c := range map[string]struct {
		change func(h *rateHistory)
		want   float64
	}{
		"steady":            {func(*rateHistory) {}, engineSpeed},
		"four times slower": {func(h *rateHistory) { h.play(2*time.Second, engineSpeed/4) }, engineSpeed / 4},
		"recovers":          {func(h *rateHistory) { h.play(5*time.Second, engineSpeed/4); h.play(2*time.Second, engineSpeed) }, engineSpeed},
		"slow moment":       {func(h *rateHistory) { h.play(slowTime, engineSpeed/slowMoment) }, engineSpeed},
		"slow outlier":      {func(h *rateHistory) { h.observe(3000, engineSpeed/20) }, engineSpeed},
		"quick outlier":     {func(h *rateHistory) { h.observe(3000, engineSpeed*20) }, engineSpeed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRateHistory(t, 1)
			h.play(10*time.Second, engineSpeed)
			c.change(h)
			require.InDelta(t, c.want, h.engine.rate(), near*c.want/engineSpeed)
		})
	}
}

// TestRateOfShortPrompts checks that the latency that each request has does not count as slowness of
// an engine that gets short prompts only.
func TestRateOfShortPrompts(t *testing.T) {
	t.Parallel()
	h := newRateHistory(t, 1)
	for range 300 {
		h.observe(200+h.rng.IntN(800), engineSpeed)
	}
	require.InDelta(t, engineSpeed, h.engine.rate(), 0.25*engineSpeed)
}

// TestPoolRateIsMedian checks that an engine without observations counts as fast as the middle one
// of its pool, whichever answered last.
func TestPoolRateIsMedian(t *testing.T) {
	t.Parallel()
	h := newRateHistory(t, 4)
	for i, speed := range []float64{60_000, 59_000, 10_000} {
		h.engine = h.b.targets[testAddr(i)]
		h.play(time.Second, speed)
	}
	h.engine = h.b.targets[testAddr(3)]
	for range 40 {
		require.InDelta(t, 59_000, h.engine.rate(), 0.25*59_000)
		h.now = h.now.Add(fleetReport)
		h.b.MergePeers(h.now, nil, 1)
	}
}

// knownRates returns the ratios of the rates that the routers know to the true ones, in ascending
// order.
func (f *engineFleet) knownRates(engines ...int) []float64 {
	var out []float64
	for _, b := range f.boards {
		for _, i := range engines {
			out = append(out, b.targets[testAddr(i)].rate()/f.engines[i].speed)
		}
	}
	slices.Sort(out)
	return out
}

// TestRatesShared checks that routers which each see an engine less than once a second learn its rate
// together: two seconds after an engine has become four times slower, or has recovered, the middle
// router of the middle play assumes a rate that is nearer to the new one than to the earlier one.
// Alone they don't.
func TestRatesShared(t *testing.T) {
	t.Parallel()
	const (
		plays  = 9
		change = 4
		nearer = 2
	)
	for name, alone := range map[string]bool{"shared": false, "alone": true} {
		t.Run(name, func(t *testing.T) {
			skipLargeFleet(t, engineFleetRouters)
			var steady, slow, recovered []float64
			for seed := range uint64(plays) {
				s, l, r := playChange(t, seed, alone, change)
				steady, slow, recovered = append(steady, s...), append(slow, l), append(recovered, r)
			}
			slices.Sort(steady)
			slices.Sort(slow)
			slices.Sort(recovered)
			n := len(steady)
			t.Logf("known to true rate: steady %.2f (0.05 quantile), %.2f (median), %.2f (0.95 quantile); slower %.2f, recovered %.2f",
				steady[n/20], median(steady), steady[n-n/20], slow, recovered)
			if alone {
				require.Less(t, median(recovered), 1.0/nearer)
				return
			}
			require.InDelta(t, 1, median(steady), 0.25)
			require.Less(t, median(slow), float64(nearer))
			require.Greater(t, median(recovered), 1.0/nearer)
		})
	}
}

// playChange plays a fleet of which one engine becomes slower by a factor and recovers. It returns
// the ratios of known to true rates of all engines before, and of the middle router two seconds
// after each change.
func playChange(t *testing.T, seed uint64, alone bool, factor float64) (steady []float64, slow, recovered float64) {
	speeds := make([]float64, 12)
	all := make([]int, len(speeds))
	for i := range speeds {
		speeds[i], all[i] = engineSpeed*[]float64{0.7, 1, 1, 1.3}[i%4], i
	}
	perSecond := 0.5 * float64(len(speeds)) * engineSpeed / promptRead
	f := newEngineFleet(t, engineFleetRouters, speeds, seed)
	f.alone = alone
	f.play(8*time.Second, perSecond)
	steady = f.knownRates(all...)
	f.engines[1].speed /= factor
	f.play(2*time.Second, perSecond)
	slow = median(f.knownRates(1))
	f.play(2*time.Second, perSecond)
	f.engines[1].speed *= factor
	f.play(2*time.Second, perSecond)
	return steady, slow, median(f.knownRates(1))
}

// median returns the median of sorted values.
func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// TestRateUpdatesMerge checks that rates merge by the weights of their observations, in any grouping.
func TestRateUpdatesMerge(t *testing.T) {
	t.Parallel()
	state := func(rate, weight float64) PeerState {
		return PeerState{Rates: []RateUpdate{newRateUpdate(7, weightedRate{rate, weight})}}
	}
	a, b, c := state(10_000, 1), state(40_000, 1), state(40_000, 2)
	all := JoinStates([]PeerState{a, b, c}).Rates[0].mean()
	nested := JoinStates([]PeerState{JoinStates([]PeerState{a, b}), c}).Rates[0].mean()
	require.InDelta(t, 4, all.weight, 1.0/weightSteps)
	require.InDelta(t, weightedRate{10_000, 1}.plus(weightedRate{40_000, 3}).rate, all.rate, 0.05*all.rate)
	require.InDelta(t, all.rate, nested.rate, 0.05*all.rate)
	require.InDelta(t, all.weight, nested.weight, 1.0/weightSteps)
}

// TestRateUpdatesBounded checks that a report holds at most maxRateUpdates rates, counts those that it
// leaves out, and takes less than a tenth of a node's 10 KB/s of control traffic per report, of
// which it sends four a second; and that with changing observations each target has its turn.
func TestRateUpdatesBounded(t *testing.T) {
	t.Parallel()
	const targets, maxBytes = 150, 1000
	rng := rand.New(rand.NewPCG(1, 1))
	seen := make(map[uint32]bool)
	for range 20 {
		var states []PeerState
		for k := range targets {
			states = append(states, PeerState{Rates: []RateUpdate{newRateUpdate(uint32(mixHash(uint64(k))), weightedRate{engineSpeed * (1 + rng.Float64()), 10 * rng.Float64()})}})
		}
		sum := JoinStates(states)
		require.Len(t, sum.Rates, maxRateUpdates)
		require.Equal(t, targets-maxRateUpdates, sum.RatesDropped)
		var with, without bytes.Buffer
		require.NoError(t, gob.NewEncoder(&with).Encode(sum))
		sum.Rates = nil
		require.NoError(t, gob.NewEncoder(&without).Encode(sum))
		require.Less(t, with.Len()-without.Len(), maxBytes)
		for _, u := range JoinStates(states).Rates {
			seen[u.Target] = true
		}
	}
	require.Len(t, seen, targets)
}

// TestExpectedFirstTokenOfPool checks that how long a request may be queued goes by the middle of the
// usable targets, for pools whose first target is much slower than the others.
func TestExpectedFirstTokenOfPool(t *testing.T) {
	t.Parallel()
	const tokens = 5000
	f := newPartsBoard(t, 3)
	for i, rate := range []float64{1000, 50_000, 50_000} {
		f.b.Report(f.now, testAddr(i), Report{Incarnation: Incarnation(fmt.Sprint(i)), Weights: map[string]string{"m": "1"}, PrefillRate: rate, Slots: 64})
	}
	r := &request{Request: f.requestWithAim(time.Second, Part{"own", tokens})}
	require.Equal(t, 100*time.Millisecond, f.b.pools["e"].expectedFirstToken(r))
	require.Equal(t, 900*time.Millisecond, f.b.maxQueueTime(r))

	w := newWorld(t, 0, 3, testSetup{})
	for i, service := range []time.Duration{900, 30, 30} {
		w.board.targets[testAddr(i)].service = service * time.Millisecond
	}
	r = &request{Request: Request{Pool: "s", Aim: 400 * time.Millisecond, Deadline: w.now.Add(time.Second)}, arrived: w.now}
	require.Equal(t, 320*time.Millisecond, w.board.pools["s"].expectedFirstToken(r))
	require.Equal(t, 80*time.Millisecond, w.board.maxQueueTime(r))
}

// TestLatencyUnknown checks that the fixed latency is zero before it can be told from the lengths.
func TestLatencyUnknown(t *testing.T) {
	t.Parallel()
	for name, observed := range map[string]int{"none": 0, "one": 1, "several of one length": 5} {
		t.Run(name, func(t *testing.T) {
			var l fixedLatency
			for range observed {
				l.add(&attempt{uncached: 1000}, 100*time.Millisecond, 10_000)
			}
			require.Zero(t, l.value())
		})
	}
}

// TestReportedRateNotFinite checks that a rate that is no number leaves the learned one in force.
func TestReportedRateNotFinite(t *testing.T) {
	t.Parallel()
	for name, rate := range map[string]float64{"not a number": math.NaN(), "infinite": math.Inf(1), "negative": math.Inf(-1)} {
		t.Run(name, func(t *testing.T) {
			h := newRateHistory(t, 1)
			h.play(time.Second, engineSpeed)
			learned := h.engine.learnedRate()
			h.b.Report(h.now, testAddr(0), Report{Incarnation: "0", Weights: map[string]string{"m": "1"}, PrefillRate: rate, Slots: 64})
			require.Positive(t, learned)
			require.Equal(t, learned, h.engine.rate())
		})
	}
}

// TestPoolRateInterval checks that the many first tokens of a busy pool make it compute its rate
// once per poolRateInterval.
func TestPoolRateInterval(t *testing.T) {
	t.Parallel()
	h := newRateHistory(t, 4)
	p := h.engine.pools[0]
	begin, computed := h.now, map[time.Time]bool{}
	for h.now.Sub(begin) < time.Second {
		h.now = h.now.Add(time.Millisecond)
		h.b.observePrefill(h.now, &attempt{target: h.engine, uncached: 1000, sent: h.now.Add(-100 * time.Millisecond)})
		computed[p.learnedAt] = true
	}
	require.Len(t, computed, int(time.Second/poolRateInterval))
	require.Positive(t, p.learned)
}
