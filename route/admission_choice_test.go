package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
)

// TestUrgentOrderEnds checks that the order by priority ends when the configuration drops the aims,
// and when the backlog ends while no request arrives.
func TestUrgentOrderEnds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ urgentAim time.Duration }{
		"aims dropped":   {},
		"backlog worked": {urgentAim: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 1)
			p := f.b.pools["e"]
			p.urgentAim, p.queue.urgentFirst = c.urgentAim, true
			f.b.enqueue(f.now, &request{Request: f.request("a", own), notBefore: f.now.Add(time.Hour)})
			f.b.dispatch(f.now)
			require.False(t, p.queue.urgentFirst)
		})
	}
}

// TestLessUrgentScanned checks that less urgent requests are tried although more urgent ones of many
// organisations, or of their own, wait for capacity.
func TestLessUrgentScanned(t *testing.T) {
	t.Parallel()
	q := newFairQueue()
	q.urgentFirst = true
	queued := func(org string, priority int) *request {
		r := &request{Request: Request{Org: org, Priority: priority}}
		q.push(r, 1)
		return r
	}
	for i := range 2 * maxScan {
		queued(fmt.Sprint("urgent", i), 9)
	}
	less, least := queued("less", 5), queued("least", 1)
	require.Subset(t, q.heads(epoch), []*request{less, least})
	require.LessOrEqual(t, len(q.heads(epoch)), maxScan)

	q = newFairQueue()
	q.urgentFirst = true
	for range 2 * headsPerOrg {
		queued("both", 9)
	}
	own := queued("both", 5)
	require.Contains(t, q.heads(epoch), own)
}

// TestLateGoesToIdleEngine checks that a prompt that will be late in any case waits for the engine
// that has nothing to compute, here one that generates as many answers as it may, and is not sent to
// a busy one.
func TestLateGoesToIdleEngine(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 2, WithoutMechanisms(JointAdmission))
	p := f.b.pools["e"]
	p.compiled.Window = 2
	ahead := f.place(f.requestWithAim(2*time.Second, Part{"ahead", 5000}))
	idle := f.b.targets[testAddr(0)]
	if ahead.Target == idle.addr {
		idle = f.b.targets[testAddr(1)]
	}
	idle.attempts = map[string]*attempt{"x": {}, "y": {}}
	p.urgentAim = 50 * time.Millisecond
	r := &request{Request: f.requestWithAim(50*time.Millisecond, Part{"long", 8000}), arrived: f.now, index: -1}
	c, _, v := f.b.chooseAdmitted(f.now, p, r)
	require.Nil(t, c)
	require.Equal(t, admitLate, v)
	require.Nil(t, f.b.chooseLate(f.now, p, r))
	idle.attempts = nil
	require.Equal(t, idle, f.b.chooseLate(f.now, p, r).target)
}

// TestSpreadKeepsPreferences checks that requests are not spread to targets that the best one was
// preferred to: with recent failures, at a distance, or that were tried before.
func TestSpreadKeepsPreferences(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 4)
	r := &request{Request: f.request("a", Part{"p", 1000}), tried: map[netip.AddrPort]bool{testAddr(3): true}}
	for range 100 {
		var cs []candidate
		for i := range 4 {
			cs = append(cs, candidate{target: f.b.targets[testAddr(i)]})
		}
		cs[2].penalty = time.Millisecond
		chosen := f.b.spread(cs, &cs[0], r).target.addr
		require.Contains(t, []netip.AddrPort{testAddr(0), testAddr(1)}, chosen)
	}
}

// TestSaturationTold checks that events and refusals state the bounds that are used.
func TestSaturationTold(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	p := f.b.pools["e"]
	p.urgentAim = 400 * time.Millisecond
	var told []string
	f.b.onEvent = func(e event.Event) { told = append(told, e.Detail) }
	set := func(wait time.Duration) {
		p.load = poolLoad{at: f.now, wait: wait, capacity: 50000, engines: 1}
		f.b.saturated(f.now, p)
	}
	set(120 * time.Millisecond)
	set(20 * time.Millisecond)
	require.Len(t, told, 2)
	require.Contains(t, told[0], "a mean wait of 120ms, of 100ms at most")
	require.Contains(t, told[1], "a mean wait of 20ms, below 50ms")
}
