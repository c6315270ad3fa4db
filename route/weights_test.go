package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/event"
)

// An event records once that a target's weights are no longer used, with the time since newer ones
// were named.
func TestOutdatedNoted(t *testing.T) {
	t.Parallel()
	var notes []event.Event
	p := newPartsBoard(t, 1, WithEventHandler(func(e event.Event) {
		if e.Code == event.TargetOutdated {
			notes = append(notes, e)
		}
	}))
	p.announceWeights("2")
	for range 12 {
		p.now = p.now.Add(time.Second)
		if a := p.place(p.request("a", Part{"x", 10})); a != nil {
			p.finish(a)
		}
	}
	require.Len(t, notes, 1)
	require.Equal(t, "m 1: replaced between 9s and 9s ago, as far as known; the newest are 2", notes[0].Detail)
	require.Equal(t, 12*time.Second, p.b.OldestInUse(p.now))
}

// Old weights are used up to the limit counted from the earliest time at which newer ones may have
// been named, whichever process knows it. If none knows it, a process uses them for a short time
// after its start.
func TestWeightsAge(t *testing.T) {
	t.Parallel()
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	span := func(weights string, first, last float64) NewestSpan {
		return NewestSpan{Model: "m", Weights: weights, First: at(first), Last: at(last)}
	}
	const start = 14 // start time of the process that these boards belong to
	for name, c := range map[string]struct {
		spans []NewestSpan
		// until is the time up to which weights 1 are used, in seconds after epoch.
		until float64
	}{
		"it observed the naming itself": {
			spans: []NewestSpan{span("1", 0, 13), span("2", 14, 14)}, until: 13 + 9,
		},
		"it started after the naming, which no process observed": {
			spans: []NewestSpan{span("4", start, start)}, until: start + 3,
		},
		"a peer observed the naming": {
			spans: []NewestSpan{span("4", start, start), span("1", 0, 12), span("4", 12.1, 13)}, until: 12 + 9,
		},
		"a peer observed the namings in between": {
			spans: []NewestSpan{span("4", start, start), span("1", 0, 2), span("2", 2.1, 7), span("3", 7.1, 12)}, until: 2.1 + 9,
		},
		"a record ends before the naming": {
			spans: []NewestSpan{span("1", 0, 4), span("2", start, start)}, until: start + 3,
		},
		"they were certainly replaced too long ago": {
			spans: []NewestSpan{span("2", 3, 13), span("4", start, start)}, until: 3 + 9,
		},
		"a peer's update was long in transit": {
			spans: []NewestSpan{span("4", start, start), {Model: "m", Weights: "1", First: at(13.5)}}, until: start + 3,
		},
		"its observations had a gap": {
			spans: []NewestSpan{span("1", 0, 26), span("2", 40, 40)}, until: 26 + 9,
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBoard(WithNumberedWeights(Staleness{Limit: 9 * time.Second, BeginLimit: 10 * time.Second, UnknownUntil: at(start + 3)}))
			for _, s := range c.spans {
				b.AddNewestSpan(s.First, s)
			}
			until := at(c.until)
			require.NotEqual(t, useNever, b.weightsUseOf(until.Add(-time.Millisecond), "m", "1"))
			require.Equal(t, useNever, b.weightsUseOf(until, "m", "1"))
		})
	}
}

// An update between processes preserves the span, up to the uncertainty of the transit time.
func TestNewestUpdate(t *testing.T) {
	t.Parallel()
	now := epoch.Add(time.Minute)
	for name, s := range map[string]NewestSpan{
		"both known": {Model: "m", Weights: "2", First: epoch, Last: epoch.Add(3 * time.Second)},
		"no end":     {Model: "m", Weights: "2", First: epoch.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			w := s.Update(now)
			require.Equal(t, s, w.Span(now, now))
			late := w.Span(now, now.Add(time.Second))
			require.Equal(t, s.First.Add(time.Second), late.First, "it may have been named by then, not before")
			require.Equal(t, s.Last, late.Last)
			require.True(t, w.Span(time.Time{}, now).Last.IsZero(), "the time in transit is unknown")
		})
	}
}

// Whatever processes learn about namings, in any order and with restarts that lose all state,
// weights are never used beyond the limit after the first naming that replaced them, except for the
// time allowed after a process start.
func TestWeightsAgeFuzz(t *testing.T) {
	t.Parallel()
	const limit, unknown = 9 * time.Second, 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		var (
			now    = epoch
			named  = []time.Time{epoch}
			boards [3]*Board
			begun  [3]time.Time
		)
		start := func(i int) {
			begun[i] = now
			boards[i] = NewBoard(WithNumberedWeights(Staleness{Limit: limit, BeginLimit: limit, UnknownUntil: now.Add(unknown)}))
		}
		newest := func(at time.Time) string {
			n := 0
			for _, naming := range named {
				if !naming.After(at) {
					n++
				}
			}
			return string(rune('0' + n))
		}
		for i := range boards {
			start(i)
		}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(boards)-1).Draw(rt, "board")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				if len(named) < 9 {
					named = append(named, now)
				}
			case 1:
				start(i)
			case 2: // The store answers at some time during the call.
				way := time.Duration(rapid.IntRange(0, 700).Draw(rt, "way")) * time.Millisecond
				back := time.Duration(rapid.IntRange(0, 700).Draw(rt, "back")) * time.Millisecond
				boards[i].AddNewestSpan(now, NewestAt(now.Add(-back-way), now, "m", newest(now.Add(-back))))
			default: // An update from another board that was in transit for some time.
				j := rapid.IntRange(0, len(boards)-1).Draw(rt, "peer")
				delay := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay")) * time.Millisecond
				asked := rapid.Bool().Draw(rt, "asked")
				for _, s := range boards[j].NewestSpans() {
					from := now
					if !asked {
						from = time.Time{}
					}
					boards[i].AddNewestSpan(now.Add(delay), s.Update(now).Span(from, now.Add(delay)))
				}
				now = now.Add(delay)
			}
			for i, b := range boards {
				for n, replaced := range named[1:] {
					weights := string(rune('1' + n))
					known := b.NewestWeights("m") > weights
					late := now.Sub(replaced) >= limit && !now.Before(begun[i].Add(unknown))
					if known && late && b.weightsUseOf(now, "m", weights) != useNever {
						rt.Fatalf("board %d uses weights %s %s after they were replaced", i, weights, now.Sub(replaced))
					}
				}
			}
		}
	})
}

// An older report about an incarnation's weights does not override a newer one, and a target that
// refuses because of its weights is believed.
func TestWeightsUpdates(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1)
	mark := TargetKey{testAddr(0), "0"}
	p.announceWeights("2")
	p.b.WeightsLoaded(p.now, WeightsUpdate{mark, "m", "2"})
	p.report(0, "1")
	require.Equal(t, "2", p.b.WeightsOf(mark, "m"), "the list lags")
	p.b.WeightsLoaded(p.now, WeightsUpdate{mark, "m", "1"})
	require.Equal(t, "2", p.b.WeightsOf(mark, "m"))

	p.announceWeights("10")
	a := p.place(p.request("a", Part{"x", 10}))
	require.Equal(t, "2", a.Weights)
	p.refuseWeights(a)
	p.report(0, "2")
	a = p.place(p.request("a", Part{"y", 10}))
	require.Equal(t, "10", a.Weights, "the next request expects what the target has, even while the list lags")
	p.finish(a)
	p.report(0, "10")
	require.Equal(t, "10", p.b.WeightsOf(mark, "m"))
}

// A target that refused because of its weights need not have the newest. The assumed weights do not
// count as observed, so the target is still updated, and they yield to its own reports.
func TestAssumedWeights(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(p *partsBoard){
		"it reports weights in between": func(p *partsBoard) { p.report(0, "2") },
		"it refuses the assumed weights": func(p *partsBoard) {
			a := p.place(p.request("a", Part{"z", 10}))
			require.Equal(p.t, "4", a.Weights)
			p.refuseWeights(a)
			require.Nil(p.t, p.place(p.request("a", Part{"v", 10})), "nothing is sent before it reports itself")
			p.report(0, "2")
		},
		"the lease holder observed it": func(p *partsBoard) {
			p.b.WeightsLoaded(p.now, WeightsUpdate{TargetKey{testAddr(0), "0"}, "m", "2"})
		},
		"the list lags for long, and then reports it again": func(p *partsBoard) {
			p.now = p.now.Add(testGuessTime)
			p.report(0, "1")
			a := p.place(p.request("a", Part{"z", 10}))
			require.Equal(p.t, "1", a.Weights, "its own report takes precedence again")
			p.refuseWeights(a)
			p.report(0, "2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartsBoard(t, 1)
			for _, w := range []string{"2", "3", "4"} {
				p.announceWeights(w)
			}
			a := p.place(p.request("a", Part{"x", 10}))
			require.Equal(t, "1", a.Weights)
			p.refuseWeights(a)
			require.Equal(t, "1", p.b.WeightsOf(TargetKey{testAddr(0), "0"}, "m"), "the target was not observed with other weights")
			play(p)
			require.Equal(t, "2", p.b.WeightsOf(TargetKey{testAddr(0), "0"}, "m"))
			a = p.place(p.request("a", Part{"y", 10}))
			require.Equal(t, "2", a.Weights)
		})
	}
}

// A request that waits at a target is withdrawn before it would begin on weights that are too old,
// and nothing is sent to a target where it would wait that long.
func TestWeightsWithdrawn(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 2)
	p.announceWeights("2")
	p.report(1, "2")
	p.b.SetHeldTargets(map[TargetKey]bool{{testAddr(1), "1"}: true})
	p.now = p.now.Add(8 * time.Second)
	stream := func(id string, tokens int) Request {
		r := p.request("a", Part{id, tokens})
		r.Streams = true
		return r
	}
	running, waiting := p.place(stream("x", 10)), p.place(stream("y", 25000))
	unseen := p.place(p.request("a", Part{"u", 10}))
	require.Equal(t, []string{"1", "1"}, []string{running.Weights, waiting.Weights})
	p.b.FirstToken(p.now, running.Request, running.ID)
	p.now = p.now.Add(950 * time.Millisecond)
	require.Nil(t, p.place(p.request("a", Part{"z", 10})), "what waits there takes half a second to read, and weights 1 are too old then")
	require.NotContains(t, p.b.Tick(p.now), Action(Cancel{Request: waiting.Request, Attempt: waiting.ID}))
	p.now = epoch.Add(testBeginLimit)
	acts := p.b.Tick(p.now)
	require.Contains(t, acts, Action(Cancel{Request: waiting.Request, Attempt: waiting.ID}))
	require.NotContains(t, acts, Action(Cancel{Request: running.Request, Attempt: running.ID}), "it began in time")
	require.NotContains(t, acts, Action(Cancel{Request: unseen.Request, Attempt: unseen.ID}), "it may have begun")
	require.Empty(t, p.b.Tick(p.now), "it is withdrawn once")
}

// A refusal reveals that a target has other weights than expected, but not which ones. The assumed
// weights then take precedence over late reports of the earlier weights, but not over the target's
// own report of newer ones. The observed weights are not changed by the assumption.
func TestRefusedWeights(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reports    []string
		want, seen string
	}{
		"the list lags":                        {reports: []string{"1", "1"}, want: "4", seen: "1"},
		"updated to the newest":                {reports: []string{"4"}, want: "4", seen: "4"},
		"a late order to those in between":     {reports: []string{"2"}, want: "2", seen: "2"},
		"the list lags, and then a late order": {reports: []string{"1", "2"}, want: "2", seen: "2"},
		"a late order, and then the list lags": {reports: []string{"2", "1"}, want: "2", seen: "2"},
		"a late order, and then to the newest": {reports: []string{"2", "4"}, want: "4", seen: "4"},
		"the newest, and then an older report": {reports: []string{"4", "2"}, want: "4", seen: "4"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartsBoard(t, 1)
			for _, weights := range []string{"2", "3", "4"} {
				p.announceWeights(weights)
			}
			a := p.place(p.request("a", Part{"x", 10}))
			require.Equal(t, "1", a.Weights)
			p.refuseWeights(a)
			for _, weights := range c.reports {
				p.now = p.now.Add(100 * time.Millisecond)
				p.report(0, weights)
			}
			require.Equal(t, c.seen, p.b.WeightsOf(TargetKey{testAddr(0), "0"}, "m"))
			a = p.place(p.request("a", Part{"y", 10}))
			require.NotNil(t, a)
			require.Equal(t, c.want, a.Weights, "the next request expects what the target has")
		})
	}
}

// A prompt that takes longer to read than the time left for requests to begin is not sent to the
// target, because it would be withdrawn while it is read and then sent to another target.
func TestWeightsTooLateForOwnPrompt(t *testing.T) {
	t.Parallel()
	p := newPartsBoard(t, 1)
	p.announceWeights("2")
	p.now = p.now.Add(9*time.Second - 10*time.Millisecond)
	a := p.place(p.request("a", Part{"x", 35000}))
	if a == nil {
		return
	}
	own := time.Duration(35000 / p.b.targets[a.Target].rate() * float64(time.Second))
	require.Less(t, p.now.Add(own), epoch.Add(testBeginLimit), "it takes %s to read", own)
}

// refuseWeights ends an attempt with a refusal by the expected incarnation.
func (p *partsBoard) refuseWeights(a *Attempt) {
	p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeRefused, Incarnation: a.Incarnation})
}
