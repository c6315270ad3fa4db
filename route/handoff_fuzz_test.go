package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// handoffModel counts what targets and other routers did with requests.
type handoffModel struct {
	*world
	// ran counts the runs, and received the targets that received the request.
	ran, received map[string]int
	requests      map[string]Request
}

// end ends an attempt in a way that it draws.
func (m *handoffModel) end(rt *rapid.T, a Attempt) {
	o := Outcome{Request: a.Request, Attempt: a.ID}
	ways := []string{"unsent", "broken", "ran and broke", "done"}
	if a.Via.IsValid() {
		ways = append(ways, "refused", "refused after tries", "may have run")
	} else {
		ways = append(ways, "silent", "reset", "refused")
	}
	tries := rapid.IntRange(1, max(1, a.Tries)).Draw(rt, "tries")
	way := rapid.SampledFrom(ways).Draw(rt, "way")
	switch way {
	case "unsent":
		o.Kind = OutcomeUnsent
	case "broken", "reset", "silent":
		o.Kind, o.Closed, o.Silent = OutcomeBroken, way == "reset", way == "silent"
		m.received[a.Request]++
	case "ran and broke":
		o.Kind = OutcomeBroken
		m.ran[a.Request]++
		m.received[a.Request] += tries
	case "done":
		o.Kind = OutcomeDone
		m.ran[a.Request]++
		m.received[a.Request] += tries
	case "refused":
		o.Kind = OutcomeRefused
		if a.Via.IsValid() {
			causes := []Cause{CauseNoTarget, CauseStopping, CauseOverload, CauseChanged}
			o.Handoff = &HandoffRefusal{Cause: rapid.SampledFrom(causes).Draw(rt, "cause"), Verdict: NotRun}
		} else {
			m.received[a.Request]++
		}
	case "refused after tries":
		o.Kind, o.Handoff = OutcomeRefused, &HandoffRefusal{Cause: CauseNoTarget, Verdict: NotRun, Tries: tries}
		m.received[a.Request] += tries
	case "may have run":
		o.Kind, o.Handoff = OutcomeBroken, &HandoffRefusal{Cause: CauseBroken, Verdict: MayHaveRun, Tries: tries}
		m.ran[a.Request]++
		m.received[a.Request] += tries
	}
	m.execute(m.board.Ended(m.now, o))
}

// check checks what callers and operators rely on.
func (m *handoffModel) check(t require.TestingT) {
	for id, req := range m.requests {
		if !req.Repeatable {
			require.LessOrEqual(t, m.ran[id], 1, "%s may run once", id)
		}
		require.LessOrEqual(t, len(m.ends[id]), 1, "%s ended more than once", id)
		require.LessOrEqual(t, m.received[id], req.MaxTries, "targets that received %s", id)
		for _, end := range m.ends[id] {
			if refuse, ok := end.(Refuse); ok && refuse.Refusal.Verdict == NotRun {
				require.Zero(t, m.ran[id], "%s was refused as not run", id)
			}
		}
	}
	for _, a := range m.inFlight {
		require.False(t, a.Via.IsValid() && m.requests[a.Request].HandedOver, "a second hop of %s", a.Request)
	}
}

// TestHandoffFuzz drives a router whose link fails and heals, and whose peers come, go and fail, and
// checks that no request runs or is sent more often than it may be.
func TestHandoffFuzz(t *testing.T) {
	t.Parallel()
	all := []HandoffPeer{{Addr: peerA}, {Addr: peerB}, {Addr: peerC, CutOff: []string{"s"}}}
	rapid.Check(t, func(rt *rapid.T) {
		m := &handoffModel{
			world: newWorld(rt, 0, 4, testSetup{trust: true}),
			ran:   make(map[string]int), received: make(map[string]int), requests: make(map[string]Request),
		}
		m.board.SetHandoffPeers(m.now, all)
		m.board.snap.Config.Requests.RetryBudget = 1
		if rapid.Bool().Draw(rt, "cut off") {
			for _, f := range m.targets {
				m.now = m.now.Add(time.Millisecond)
				m.execute(m.board.TargetCrashed(m.now, f.addr))
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				m.nextID++
				req := Request{
					ID: fmt.Sprint("r", m.nextID), Revision: m.board.Revision(), Org: "b", Pool: "s", Deadline: m.now.Add(5 * time.Second),
					QueueTime: time.Second, Repeatable: rapid.Bool().Draw(rt, "repeatable"), MaxTries: rapid.IntRange(1, 3).Draw(rt, "most"),
					HandedOver: rapid.IntRange(0, 3).Draw(rt, "handed") == 0,
				}
				m.requests[req.ID] = req
				m.execute(m.board.Arrive(m.now, req))
			},
			"end": func(rt *rapid.T) {
				if len(m.inFlight) > 0 {
					m.end(rt, m.takeInFlight(rapid.IntRange(0, len(m.inFlight)-1).Draw(rt, "attempt")))
				}
			},
			"caller gone": func(rt *rapid.T) {
				if len(m.inFlight) > 0 {
					a := m.takeInFlight(0)
					m.execute(m.board.CallerGone(m.now, a.Request))
					delete(m.requests, a.Request)
				}
			},
			"target refuses": func(rt *rapid.T) {
				m.execute(m.board.TargetCrashed(m.now, m.targets[rapid.IntRange(0, 3).Draw(rt, "target")].addr))
			},
			"reached": func(rt *rapid.T) {
				m.execute(m.board.Reached(m.now, m.targets[rapid.IntRange(0, 3).Draw(rt, "target")].addr, m.now))
			},
			"peers": func(rt *rapid.T) {
				m.board.SetHandoffPeers(m.now, all[:rapid.IntRange(0, len(all)).Draw(rt, "peers")])
			},
			"wait": func(rt *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(rt, "ms")) * time.Millisecond)
				m.execute(m.board.Tick(m.now))
			},
			"": func(rt *rapid.T) { m.check(rt) },
		})
		m.now = m.now.Add(time.Minute)
		m.execute(m.board.Tick(m.now))
		require.Zero(rt, m.board.Requests())
		require.Empty(rt, m.board.handoffs.inFlight)
	})
}
