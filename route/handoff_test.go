package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
)

// Addresses of routers that take requests.
var (
	peerA = netip.MustParseAddrPort("10.9.0.1:7000")
	peerB = netip.MustParseAddrPort("10.9.0.2:7000")
	peerC = netip.MustParseAddrPort("10.9.0.3:7000")
)

// linkWorld is a world of service targets with other routers.
type linkWorld struct {
	*world
	t *testing.T
}

func newLinkWorld(t *testing.T, services int, peers ...HandoffPeer) *linkWorld {
	w := &linkWorld{newWorld(t, 1, services, testSetup{trust: true}), t}
	w.board.SetHandoffPeers(w.now, peers)
	return w
}

// take returns the newest attempt and removes it from those in flight.
func (w *linkWorld) take() Attempt {
	w.t.Helper()
	require.NotEmpty(w.t, w.inFlight)
	return w.takeInFlight(len(w.inFlight) - 1)
}

// ask submits a repeatable request and returns its attempt.
func (w *linkWorld) ask() Attempt {
	w.t.Helper()
	w.request("b", "", true, true)
	return w.take()
}

// fail ends an attempt in a way, without any response of the target.
func (w *linkWorld) fail(a Attempt, way string) {
	w.now = w.now.Add(10 * time.Millisecond)
	o := Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken}
	switch way {
	case "silent":
		o.Silent = true
	case "reset":
		o.Closed = true
	case "refused":
		o.Kind = OutcomeUnsent
		w.execute(w.board.TargetCrashed(w.now, a.Target))
	}
	w.execute(w.board.Ended(w.now, o))
}

// succeed ends an attempt with an answer.
func (w *linkWorld) succeed(a Attempt) {
	w.now = w.now.Add(10 * time.Millisecond)
	w.execute(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeDone}))
}

// cutOff makes attempts fail until one is handed over, which it returns.
func (w *linkWorld) cutOff(way string) Attempt {
	w.t.Helper()
	a := w.ask()
	for range 2 * maxTries {
		if a.Via.IsValid() {
			return a
		}
		w.now = w.now.Add(darkConfirmTime / 2)
		w.fail(a, way)
		if len(w.inFlight) == 0 {
			a = w.ask()
			continue
		}
		a = w.take()
	}
	w.t.Fatal("no request is handed over")
	return Attempt{}
}

// Guards against requests that wait and are refused at a router that is cut off from all targets, and
// against handing over where the targets are at fault.
func TestLinkDetection(t *testing.T) {
	t.Parallel()
	reaching := []HandoffPeer{{Addr: peerA}, {Addr: peerB}}
	for name, c := range map[string]struct {
		services int
		peers    []HandoffPeer
		act      func(w *linkWorld)
		handed   bool
	}{
		"one silent target":              {4, reaching, func(w *linkWorld) { w.fail(w.ask(), "silent") }, false},
		"all silent":                     {4, reaching, func(w *linkWorld) { w.cutOff("silent") }, true},
		"all reset":                      {4, reaching, func(w *linkWorld) { w.cutOff("reset") }, true},
		"all refused":                    {4, reaching, func(w *linkWorld) { w.cutOff("refused") }, true},
		"the only target is silent":      {1, reaching, func(w *linkWorld) { w.cutOff("silent") }, true},
		"many targets, a few are silent": {60, reaching, func(w *linkWorld) { w.cutOff("silent") }, true},
		"a few of many crash at once": {20, reaching, func(w *linkWorld) {
			for range minDarkTargets {
				w.fail(w.ask(), "refused")
				w.drop()
			}
		}, false},
		"no other router": {4, nil, func(w *linkWorld) {
			for range 4 {
				w.fail(w.ask(), "silent")
				w.drop()
			}
		}, false},
		"silent for the others too": {4, []HandoffPeer{{Addr: peerA, CutOff: []string{"s"}}}, func(w *linkWorld) {
			for range 4 {
				w.fail(w.ask(), "silent")
				w.drop()
			}
		}, false},
		"another pool is silent for the others": {4, []HandoffPeer{{Addr: peerA, CutOff: []string{"e"}}}, func(w *linkWorld) { w.cutOff("silent") }, true},
		"an answer to a later attempt": {8, reaching, func(w *linkWorld) {
			silent := []Attempt{w.ask(), w.ask(), w.ask()}
			w.now = w.now.Add(time.Millisecond)
			answered := w.ask()
			w.succeed(answered)
			for _, a := range silent {
				w.fail(a, "silent")
			}
		}, false},
		"an answer to an earlier attempt": {8, reaching, func(w *linkWorld) {
			early := w.ask()
			w.now = w.now.Add(time.Millisecond)
			w.cutOff("silent")
			w.succeed(early)
		}, true},
		"reached again": {4, reaching, func(w *linkWorld) {
			w.cutOff("silent")
			w.now = w.now.Add(time.Second)
			w.execute(w.board.Reached(w.now, w.targets[1].addr, w.now))
		}, false},
		"failures long apart": {8, reaching, func(w *linkWorld) {
			for range 4 {
				w.fail(w.ask(), "reset")
				w.drop()
				w.now = w.now.Add(darkWindow + time.Second)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLinkWorld(t, c.services, c.peers...)
			c.act(w)
			w.drop()
			w.now = w.now.Add(time.Millisecond)
			w.request("b", "", true, true)
			handed := false
			for _, a := range w.inFlight {
				handed = handed || a.Via.IsValid()
			}
			require.Equal(t, c.handed, handed)
			require.Equal(t, c.handed, w.hasEvent(event.PoolCutOff) && !w.hasEvent(event.PoolReached))
		})
	}
}

// drop ends the attempts in flight, whose callers disconnect.
func (w *linkWorld) drop() {
	for len(w.inFlight) > 0 {
		a := w.take()
		w.execute(w.board.CallerGone(w.now, a.Request))
	}
}

// Guards against targets that stay failing, and so a herd at the others, once a cut heals.
func TestLinkHeals(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"silent", "refused"} {
		t.Run(way, func(t *testing.T) {
			w := newLinkWorld(t, 4, HandoffPeer{Addr: peerA})
			w.cutOff(way)
			w.drop()
			var probed []netip.AddrPort
			for range 10 {
				w.now = w.now.Add(100 * time.Millisecond)
				probed = append(probed, w.board.LinkProbes(w.now)...)
			}
			require.Len(t, probed, 2, "probes in a second")
			w.execute(w.board.Reached(w.now, probed[0], w.now))
			require.True(t, w.hasEvent(event.PoolReached))
			for _, v := range w.board.View(w.now) {
				require.False(t, v.Failing, v.Name)
			}
			require.False(t, w.ask().Via.IsValid())
		})
	}
}

// A router that accepts connections and answers nothing is probed ever more rarely.
func TestLinkRelapse(t *testing.T) {
	t.Parallel()
	w := newLinkWorld(t, 4, HandoffPeer{Addr: peerA})
	for i, want := range []time.Duration{linkProbeInterval, 2 * linkProbeInterval, 4 * linkProbeInterval} {
		w.cutOff("silent")
		w.drop()
		waited := time.Duration(0)
		for len(w.board.LinkProbes(w.now)) == 0 {
			waited += 10 * time.Millisecond
			w.now = w.now.Add(10 * time.Millisecond)
		}
		require.InDelta(t, want.Seconds(), waited.Seconds(), 0.05, "cut %d", i)
		w.execute(w.board.Reached(w.now, w.targets[1].addr, w.now))
		w.now = w.now.Add(time.Millisecond)
	}
}

// Guards against a request that runs twice or too often, or goes on from router to router.
func TestHandoffOutcomes(t *testing.T) {
	t.Parallel()
	refusal := func(cause Cause, v Verdict, tries int) *HandoffRefusal {
		return &HandoffRefusal{Cause: cause, Verdict: v, Tries: tries, RetryAfter: 700 * time.Millisecond}
	}
	for name, c := range map[string]struct {
		once     bool
		maxTries int
		outcome  Outcome
		again    bool
		cause    Cause
		verdict  Verdict
	}{
		"unsent":                         {outcome: Outcome{Kind: OutcomeUnsent}, again: true},
		"unsent, once":                   {once: true, outcome: Outcome{Kind: OutcomeUnsent}, again: true},
		"broken":                         {outcome: Outcome{Kind: OutcomeBroken}, maxTries: 3, again: true},
		"broken, once":                   {once: true, outcome: Outcome{Kind: OutcomeBroken}, cause: CauseBroken, verdict: MayHaveRun},
		"broken, one try":                {outcome: Outcome{Kind: OutcomeBroken}, maxTries: 1, cause: CauseRetries, verdict: MayHaveRun},
		"cut off too":                    {once: true, outcome: Outcome{Kind: OutcomeRefused, Handoff: refusal(CauseNoTarget, NotRun, 0)}, again: true},
		"overloaded":                     {outcome: Outcome{Kind: OutcomeRefused, Handoff: refusal(CauseOverload, NotRun, 0)}, cause: CauseOverload, verdict: NotRun},
		"another configuration":          {outcome: Outcome{Kind: OutcomeRefused, Handoff: refusal(CauseChanged, NotRun, 0)}, again: true},
		"it may have run there, once":    {once: true, outcome: Outcome{Kind: OutcomeBroken, Handoff: refusal(CauseBroken, MayHaveRun, 1)}, cause: CauseBroken, verdict: MayHaveRun},
		"tried there as often as it may": {outcome: Outcome{Kind: OutcomeRefused, Handoff: refusal(CauseNoTarget, NotRun, 2)}, maxTries: 2, cause: CauseRetries, verdict: NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLinkWorld(t, 4, HandoffPeer{Addr: peerA}, HandoffPeer{Addr: peerB}, HandoffPeer{Addr: peerC})
			w.cutOff("silent")
			w.drop()
			req := Request{
				ID: "x", Revision: w.board.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(10 * time.Second), QueueTime: time.Second,
				Repeatable: !c.once, MaxTries: c.maxTries,
			}
			w.execute(w.board.Arrive(w.now, req))
			first := w.take()
			require.True(t, first.Via.IsValid())
			c.outcome.Request, c.outcome.Attempt = first.Request, first.ID
			w.execute(w.board.Ended(w.now, c.outcome))
			if !c.again {
				require.Empty(t, w.inFlight)
				refused := w.ends["x"][0].(Refuse).Refusal
				require.Equal(t, c.cause, refused.Cause, refused.Detail)
				require.Equal(t, c.verdict, refused.Verdict)
				if c.cause == CauseOverload {
					require.Equal(t, 700*time.Millisecond, refused.RetryAfter)
				}
				return
			}
			second := w.take()
			require.True(t, second.Via.IsValid())
			require.NotEqual(t, first.Via, second.Via)
			for n := 2; n < maxHandoffs; n++ {
				w.execute(w.board.Ended(w.now, Outcome{Request: second.Request, Attempt: second.ID, Kind: OutcomeUnsent}))
				second = w.take()
			}
			w.execute(w.board.Ended(w.now, Outcome{Request: second.Request, Attempt: second.ID, Kind: OutcomeUnsent}))
			require.Empty(t, w.inFlight, "handed over too often")
			require.Len(t, w.ends["x"], 1)
		})
	}
}

// Guards against a request that is handed over with fewer targets left than it has, or as one that a target
// has received although none did, so that no router counts it towards the retry budget.
func TestHandoffStatesTries(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		maxTries      int
		first, second int
	}{
		"three": {3, 2, 1}, "two": {2, 1, 1}, "one": {1, 1, 0}, "four": {4, 3, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLinkWorld(t, 4, HandoffPeer{Addr: peerA}, HandoffPeer{Addr: peerB}, HandoffPeer{Addr: peerC})
			w.cutOff("silent")
			w.drop()
			w.execute(w.board.Arrive(w.now, Request{
				ID: "x", Revision: w.board.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(10 * time.Second), QueueTime: time.Second,
				Repeatable: true, MaxTries: c.maxTries,
			}))
			a := w.take()
			require.True(t, a.Via.IsValid())
			require.Equal(t, c.first, a.Tries)
			require.False(t, a.Sent)
			// A router that did not get it changes nothing.
			w.execute(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeUnsent}))
			a = w.take()
			require.Equal(t, c.first, a.Tries)
			require.False(t, a.Sent)
			// One that ends without an answer may have sent it to as many targets as it was given.
			w.execute(w.board.Ended(w.now, Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeBroken}))
			if c.second == 0 {
				require.Empty(t, w.inFlight)
				return
			}
			a = w.take()
			require.Equal(t, c.second, a.Tries)
			require.True(t, a.Sent)
		})
	}
}

// Guards against a stream that goes on at another release, since it arrived before this router knew a release of
// its pool and was handed over without one.
func TestHandoffPinsStreams(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// releases are those of the targets in turn.
		releases []string
		pin      ReleasePin
		handed   bool
	}{
		"one release":                {[]string{oldRel}, PinTo(oldRel), true},
		"several, not divided":       {[]string{oldRel, newRel}, ReleasePin{}, false},
		"several, pinned on arrival": {[]string{oldRel, newRel}, PinTo(newRel), true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLinkWorld(t, 4, HandoffPeer{Addr: peerA})
			var list []ListedTarget
			for i, f := range w.targets[1:] {
				list = append(list, ListedTarget{Addr: f.addr, Labels: map[string]string{"s": "s"}, Release: c.releases[i%len(c.releases)]})
			}
			// The targets that the world began with had no release.
			w.board.pools["s"].streams = releaseState{}
			w.execute(w.board.SetTargets(w.now, list))
			w.cutOff("silent")
			w.drop()
			req := Request{
				ID: "x", Revision: w.board.Revision(), Org: "b", Pool: "s", Deadline: w.now.Add(10 * time.Second), QueueTime: time.Second,
				Repeatable: true, Streams: true, Resumable: true,
			}
			if len(c.releases) > 1 {
				req.Pin = c.pin
			}
			w.execute(w.board.Arrive(w.now, req))
			if !c.handed {
				require.Empty(t, w.inFlight)
				return
			}
			a := w.take()
			require.True(t, a.Via.IsValid())
			require.Equal(t, c.pin, a.Pin)
		})
	}
}

// Guards against a second hop: a router that is cut off too refuses a request of another one at once,
// and never hands it over.
func TestHandedOverEndsHere(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		cut     bool
		refused bool
	}{"cut off too": {true, true}, "reaches the targets": {false, false}} {
		t.Run(name, func(t *testing.T) {
			w := newLinkWorld(t, 4, HandoffPeer{Addr: peerA})
			if c.cut {
				w.cutOff("silent")
				w.drop()
			}
			req := Request{ID: "x", Revision: w.board.Revision(), Org: "a", Pool: "s", Deadline: w.now.Add(10 * time.Second), QueueTime: time.Second, HandedOver: true}
			for n := range 100 {
				req.ID = fmt.Sprint("x", n)
				w.execute(w.board.Arrive(w.now, req))
			}
			for _, a := range w.inFlight {
				require.False(t, a.Via.IsValid())
			}
			if !c.refused {
				require.Empty(t, w.ends, "limits count where the request arrived")
				return
			}
			require.Equal(t, CauseNoTarget, w.ends["x0"][0].(Refuse).Refusal.Cause)
			require.Equal(t, NotRun, w.ends["x0"][0].(Refuse).Refusal.Verdict)
		})
	}
}

// Guards against a router whose own link is at fault that spoils what others know of the targets.
func TestCutOffTellsNothing(t *testing.T) {
	t.Parallel()
	var notices []TargetNotice
	w := newLinkWorld(t, 40, HandoffPeer{Addr: peerA})
	WithTargetNotices("r", func(n TargetNotice) { notices = append(notices, n) })(w.board)
	w.cutOff("silent")
	w.drop()
	for _, f := range w.targets[1:] {
		w.execute(w.board.TargetCrashed(w.now, f.addr))
	}
	require.Equal(t, []string{"s"}, w.board.State(w.now).CutOff)
	require.Empty(t, w.board.HeldRequests(w.now))
	require.Empty(t, notices)
}

// Guards against all requests of a cut-off router going to one other router.
func TestHandoffSpreads(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		requests int
		near     int
		all      int
	}{"few stay in the failure domain": {20, 2, 2}, "many go to all": {200, 2, 8}} {
		t.Run(name, func(t *testing.T) {
			var peers []HandoffPeer
			for i := range 8 {
				zone := "far"
				if i < c.near {
					zone = "near"
				}
				peers = append(peers, HandoffPeer{Addr: netip.AddrPortFrom(peerA.Addr(), uint16(8000+i)), Zone: zone})
			}
			w := newLinkWorld(t, 4, peers...)
			WithZone("near")(w.board)
			w.cutOff("silent")
			w.drop()
			counts := make(map[netip.AddrPort]int)
			for range c.requests {
				w.request("b", "", true, true)
			}
			for _, a := range w.inFlight {
				counts[a.Via]++
			}
			require.Len(t, counts, c.all)
			for _, n := range counts {
				require.LessOrEqual(t, n, max(20, 3*c.requests/c.all))
			}
		})
	}
}
