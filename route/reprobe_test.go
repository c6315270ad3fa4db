package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// probeStep is the resolution of a probedBoard.
const probeStep = 50 * time.Millisecond

// probedBoard is a board whose due probes are run, with targets that may be out of reach or hang.
type probedBoard struct {
	*partsBoard
	// accepts and answers report whether a target accepts connections and answers requests now.
	accepts, answers func(netip.AddrPort) bool
	// probes are the times at which each target was probed.
	probes map[netip.AddrPort][]time.Time
	// running are the attempts at targets that do not answer, with the times at which they fail.
	running map[*Attempt]time.Time
	// begins is set if targets that do not answer begin to.
	begins bool
	lost   int
	served int
}

func newProbedBoard(t require.TestingT, engines int, opts ...Option) *probedBoard {
	yes := func(netip.AddrPort) bool { return true }
	return &probedBoard{
		partsBoard: newPartsBoard(t, engines, opts...), accepts: yes, answers: yes,
		probes: make(map[netip.AddrPort][]time.Time), running: make(map[*Attempt]time.Time),
	}
}

// silenceTime is the time after which an attempt at a target that does not answer fails.
const silenceTime = 900 * time.Millisecond

// run lets time pass while the given number of requests arrives in each step.
func (p *probedBoard) run(d time.Duration, perStep int) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(probeStep)
		p.step(perStep)
	}
}

func (p *probedBoard) step(requests int) {
	for range requests {
		r := p.request("a", Part{fmt.Sprint("own", p.next), 500})
		r.QueueTime = time.Second / 2
		p.send(p.b.Arrive(p.now, r))
	}
	for a, fails := range p.running {
		if !p.now.Before(fails) {
			delete(p.running, a)
			p.lost++
			p.send(p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Silent: true}))
		}
	}
	for _, addr := range p.b.ProbesDue(p.now) {
		p.probes[addr] = append(p.probes[addr], p.now)
		if p.accepts(addr) {
			p.send(p.b.Reached(p.now, addr, p.now))
		}
	}
	p.send(p.b.Tick(p.now))
}

func (p *probedBoard) send(actions []Action) {
	for _, action := range actions {
		s, ok := action.(Send)
		switch {
		case !ok:
		case p.accepts(s.Attempt.Target) && p.answers(s.Attempt.Target):
			p.served++
			p.send(p.b.FirstToken(p.now, s.Attempt.Request, s.Attempt.ID))
			p.send(p.b.Ended(p.now, Outcome{Request: s.Attempt.Request, Attempt: s.Attempt.ID, Kind: OutcomeDone}))
		default:
			p.running[&s.Attempt] = p.now.Add(silenceTime)
			if p.begins && p.accepts(s.Attempt.Target) {
				p.send(p.b.FirstToken(p.now, s.Attempt.Request, s.Attempt.ID))
			}
		}
	}
}

func (p *probedBoard) failing() (n int) {
	for _, t := range p.b.targets {
		if t.failing {
			n++
		}
	}
	return n
}

func noTarget(netip.AddrPort) bool    { return false }
func everyTarget(netip.AddrPort) bool { return true }

// A target that was given up while this router could not reach it is used again soon after it can,
// whatever marked it as failing. It was refused requests for as long as the process ran.
func TestFailingTargetUsedAgain(t *testing.T) {
	t.Parallel()
	for name, mark := range map[string]func(p *probedBoard){
		"silence": func(p *probedBoard) { p.b.markUnresponsive(p.now, p.b.targets[testAddr(0)]) },
		"consecutive failures": func(p *probedBoard) {
			for range failuresToFail {
				p.b.recordTargetFailure(p.b.targets[testAddr(0)])
			}
		},
		"reports of peers": func(p *probedBoard) {
			m := TargetKey{testAddr(0), "0"}
			p.b.MergePeers(p.now, map[string]PeerState{"p": {Silent: []UnresponsiveUpdate{{m, minUnresponsiveRouters}}}}, 2)
		},
		"refused connections": func(p *probedBoard) { p.b.TargetCrashed(p.now, testAddr(0)) },
	} {
		for _, outage := range []time.Duration{time.Second, 8 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(name, " for ", outage), func(t *testing.T) {
				p := newProbedBoard(t, 1, WithTargetNotices("r", func(TargetNotice) {}))
				p.accepts = noTarget
				p.now = p.now.Add(2 * time.Second)
				mark(p)
				require.Equal(t, 1, p.failing())
				p.run(outage, 1)
				require.Zero(t, p.served)
				require.Equal(t, 1, p.failing())
				p.accepts = everyTarget
				p.run(maxProbeWait*3/2+probeStep, 1)
				require.Zero(t, p.failing())
				require.Positive(t, p.served)
			})
		}
	}
}

// The first probe comes soon after the mark, and a target that stays out of reach is probed less
// and less often, but never given up.
func TestProbeWaits(t *testing.T) {
	t.Parallel()
	p := newProbedBoard(t, 1)
	p.accepts = noTarget
	p.b.markUnresponsive(p.now, p.b.targets[testAddr(0)])
	marked := p.now
	p.run(time.Minute, 1)
	probes := p.probes[testAddr(0)]
	require.LessOrEqual(t, probes[0].Sub(marked), firstProbeWait*3/2+2*probeStep)
	require.Less(t, len(probes), 45)
	for i := range probes[1:] {
		require.LessOrEqual(t, probes[i+1].Sub(probes[i]), maxProbeWait*3/2+probeStep)
	}
	require.LessOrEqual(t, p.now.Sub(probes[len(probes)-1]), maxProbeWait*3/2+probeStep)
}

// Only targets that could get requests are probed: each probe has a price.
func TestProbesOnlyUseful(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change  func(p *probedBoard)
		perStep int
	}{
		"draining":               {func(p *probedBoard) { p.b.MarkDraining(TargetKey{testAddr(0), "0"}) }, 1},
		"not listed":             {func(p *probedBoard) { p.b.SetTargets(p.now, nil) }, 1},
		"no requests":            {func(*probedBoard) {}, 0},
		"another pool's targets": {func(p *probedBoard) { p.b.targets[testAddr(0)].pools = nil }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProbedBoard(t, 1)
			p.accepts = noTarget
			p.b.markUnresponsive(p.now, p.b.targets[testAddr(0)])
			c.change(p)
			p.run(20*time.Second, c.perStep)
			require.Empty(t, p.probes)
		})
	}
}

// A router that is cut off from all targets of the largest fleet opens a bounded number of
// connections, and probes each of them in turn.
func TestProbesBounded(t *testing.T) {
	t.Parallel()
	const targets = 750
	p := newProbedBoard(t, targets)
	p.accepts = noTarget
	for _, target := range p.b.targets {
		p.b.markUnresponsive(p.now, target)
	}
	const duration = time.Minute
	p.run(duration, 1)
	sum, least := 0, 1000
	for i := range targets {
		n := len(p.probes[testAddr(i)])
		sum += n
		least = min(least, n)
	}
	t.Logf("%d probes in %s, at least %d of each target", sum, duration, least)
	require.LessOrEqual(t, sum, probeBurst+probesPerSecond*int(duration.Seconds()))
	require.GreaterOrEqual(t, least, 2)
}

// After a loss of the path to all targets, the first target that recovers is not alone with all
// requests for as long as the waits of the others last.
func TestProbesAdvanceTogether(t *testing.T) {
	t.Parallel()
	const targets = 9
	p := newProbedBoard(t, targets)
	p.run(time.Second, 4)
	p.accepts = noTarget
	p.run(12*time.Second, 4)
	require.Equal(t, targets, p.failing())
	p.accepts = everyTarget
	for p.failing() == targets {
		p.run(probeStep, 4)
	}
	p.run(recoverySpread+probeStep, 4)
	require.Zero(t, p.failing())
}

// A target that accepts connections and never answers costs fewer and fewer requests, and is used
// as before once it answers.
func TestAcceptsNeverAnswers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		engines int
		begins  bool
	}{
		"the only target":             {1, false},
		"one of two":                  {2, false},
		"one of two, answers begin":   {2, true},
		"the only one, answers begin": {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProbedBoard(t, c.engines)
			p.begins = c.begins
			p.answers = func(addr netip.AddrPort) bool { return addr != testAddr(0) }
			p.run(30*time.Second, 2)
			require.Positive(t, p.lost)
			early, probes := p.lost, len(p.probes[testAddr(0)])
			p.run(10*time.Minute, 2)
			t.Logf("%d of %d requests lost in 30 s, %d in the next 10 minutes, %d probes", early, early+p.served, p.lost-early, len(p.probes[testAddr(0)])-probes)
			if !c.begins {
				require.LessOrEqual(t, p.lost-early, 10*60/int(maxLossWait.Seconds()/2))
			}
			require.LessOrEqual(t, len(p.probes[testAddr(0)])-probes, 10*60/int(maxLossWait.Seconds()/2))
			p.answers = everyTarget
			p.run(maxLossWait*2, 2)
			require.Zero(t, p.failing())
			require.Equal(t, reprobe{}, p.b.targets[testAddr(0)].reprobe)
		})
	}
}

// Requests that had been sent before the path was lost do not count against a target that accepted
// a connection since.
func TestEarlierLossesDoNotCount(t *testing.T) {
	t.Parallel()
	p := newProbedBoard(t, 1)
	first, second := p.place(p.request("a", own)), p.place(p.request("a", own))
	require.NotNil(t, second)
	silent := func(a *Attempt) {
		p.b.Ended(p.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken, Silent: true})
	}
	silent(first)
	p.now = p.now.Add(time.Millisecond)
	p.b.Reached(p.now, testAddr(0), p.now)
	silent(second)
	p.now = p.now.Add(time.Millisecond)
	p.b.Reached(p.now, testAddr(0), p.now)
	require.Zero(t, p.failing())
	require.Zero(t, p.b.targets[testAddr(0)].reprobe.losses)
}

// A probe that began after peers found a target unresponsive, and succeeded, counts.
func TestReachedAfterPeers(t *testing.T) {
	t.Parallel()
	p := newProbedBoard(t, 1)
	p.b.markUnresponsive(p.now, p.b.targets[testAddr(0)])
	p.now = p.now.Add(time.Millisecond)
	m := TargetKey{testAddr(0), "0"}
	p.b.MergePeers(p.now, map[string]PeerState{"p": {Silent: []UnresponsiveUpdate{{m, minUnresponsiveRouters}}}}, 2)
	began := p.now.Add(time.Millisecond)
	p.now = began.Add(time.Millisecond)
	p.b.Reached(p.now, testAddr(0), began)
	require.True(t, p.b.targets[testAddr(0)].usable())
}

// The probes of all nodes of a large fleet do not arrive together, neither while a target is out of
// reach nor when it recovers.
func TestProbesOfManyRouters(t *testing.T) {
	t.Parallel()
	const routers = 390
	skipLargeFleet(t, routers)
	perStep := make(map[time.Time]int)
	recovered := make(map[time.Time]int)
	for i := range routers {
		p := newProbedBoard(t, 1, WithSeed(uint64(i)))
		p.accepts = noTarget
		p.b.markUnresponsive(p.now, p.b.targets[testAddr(0)])
		p.run(20*time.Second, 1)
		for _, at := range p.probes[testAddr(0)] {
			if at.Sub(epoch) > 10*time.Second {
				perStep[at]++
			}
		}
		p.accepts = everyTarget
		for p.failing() > 0 {
			p.run(probeStep, 1)
		}
		recovered[p.now]++
	}
	worst := func(counts map[time.Time]int) (n int) {
		for _, c := range counts {
			n = max(n, c)
		}
		return n
	}
	t.Logf("in %s at most %d probes, at most %d recoveries", probeStep, worst(perStep), worst(recovered))
	require.Less(t, worst(perStep), routers/10)
	require.Less(t, worst(recovered), routers/10)
}

// BenchmarkProbesDue measures what a node does some times a second, with and without an outage.
func BenchmarkProbesDue(b *testing.B) {
	for name, fail := range map[string]bool{"all healthy": false, "all failing": true} {
		b.Run(name, func(b *testing.B) {
			p := newProbedBoard(b, 750)
			p.place(p.request("a", own))
			for _, target := range p.b.targets {
				if fail {
					p.b.markUnresponsive(p.now, target)
				}
			}
			for b.Loop() {
				p.now = p.now.Add(probeStep)
				p.b.pools["e"].askedAt = p.now
				p.b.ProbesDue(p.now)
			}
		})
	}
}
