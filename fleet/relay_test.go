package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testMembers(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{
			ID: fmt.Sprintf("n%03d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Zone: fmt.Sprint("z", i%4), Epoch: 1, Power: 0.4,
		})
	}
	return out
}

// Processes that know the same members select the same relays, few relays change when a member is
// lost, and members with more power are preferred.
func TestRelays(t *testing.T) {
	members := testMembers(60)
	relays := Relays(members, 3)
	require.Len(t, relays, 3)
	without := members[:0:0]
	for _, m := range members {
		if m.ID != relays[1].ID {
			without = append(without, m)
		}
	}
	next := Relays(without, 3)
	require.Equal(t, []Member{relays[0], relays[2]}, next[:2], "the others stay")
	for i := range members {
		if i%10 == 0 {
			members[i].Power = 4
		}
	}
	for _, m := range Relays(members, 3) {
		require.EqualValues(t, 4, m.Power)
	}
	members[0].Power = 0
	require.Len(t, Relays(members[:1], 3), 0, "a member without power is not selected")
	require.Equal(t, 3, RelayCount(20))
	require.Equal(t, 13, RelayCount(390))
}

// rosterSim simulates a fleet whose processes report to each other; the state of each is its own
// id.
type rosterSim struct {
	t     *rapid.T
	now   time.Time
	nodes map[string]*Roster[[]string]
	down  map[string]bool
	cut   map[[2]string]bool
	seeds []Member
}

func (w *rosterSim) start(m Member) {
	m.Epoch = w.now.UnixNano()
	w.nodes[m.ID] = NewRoster[[]string](w.now, m, 2500*time.Millisecond)
	w.down[m.ID] = false
}

func join(own []string, states [][]string) []string {
	out := append([]string(nil), own...)
	for _, s := range states {
		out = append(out, s...)
	}
	return out
}

// report makes one process report once, as the production code does.
func (w *rosterSim) report(id string) {
	r := w.nodes[id]
	message, states := r.Report(w.now)
	message.State = join([]string{id}, states)
	for _, to := range r.Next(w.now) {
		w.call(r, to, message)
	}
	knownMembers := make(map[string]bool)
	for _, m := range r.Members(w.now) {
		knownMembers[m.ID] = true
	}
	for _, s := range w.seeds {
		if !knownMembers[s.ID] {
			w.call(r, s, message)
		}
	}
}

func (w *rosterSim) call(r *Roster[[]string], to Member, message RosterMessage[[]string]) {
	other, ok := w.nodes[to.ID]
	if !ok || w.down[to.ID] || w.cut[[2]string{r.Self().ID, to.ID}] {
		r.Failed(w.now, to.ID)
		return
	}
	other.HandleReport(w.now, message)
	a := other.Answer(w.now, message, 0)
	answer, states, complete := a.Word, a.States, a.Whole
	answer.State = join([]string{to.ID}, states)
	if !answer.Relay {
		r.Hint(w.now, append(answer.Members, answer.From)...)
		return
	}
	r.HandleAnswer(w.now, answer, complete)
}

// run advances time by the given number of reporting rounds.
func (w *rosterSim) run(rounds int) {
	for range rounds {
		w.now = w.now.Add(500 * time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
			if !w.down[id] {
				w.report(id)
			}
		}
	}
}

// check compares every process's view with the true state: its members are exactly the live
// processes, and each one's state is counted once.
func (w *rosterSim) check() {
	live := make(map[string]int)
	for id := range w.nodes {
		if !w.down[id] {
			live[id] = 1
		}
	}
	relays := 0
	for id := range live {
		r := w.nodes[id]
		if r.IsRelay(w.now) {
			relays++
		}
		seen := make(map[string]int)
		for _, m := range r.Members(w.now) {
			seen[m.ID]++
		}
		require.Equal(w.t, live, seen, "members known to %s", id)
		counts := map[string]int{id: 1}
		for _, s := range r.OtherStates(w.now, "") {
			for _, other := range s {
				counts[other]++
			}
		}
		require.Equal(w.t, live, counts, "states counted by %s", id)
	}
	require.Equal(w.t, min(len(live), RelayCount(len(live))), relays)
}

// After processes were lost, restarted and partitioned, every roster converges to the true state
// within a bounded number of undisturbed rounds.
func TestRosterSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &rosterSim{
			t: t, now: time.Unix(1000, 0), nodes: make(map[string]*Roster[[]string]),
			down: make(map[string]bool), cut: make(map[[2]string]bool),
		}
		members := testMembers(rapid.IntRange(2, 14).Draw(t, "nodes"))
		w.seeds = members[:min(3, len(members))]
		for _, m := range members {
			w.start(m)
		}
		w.run(12)
		w.check()
		for range rapid.IntRange(1, 4).Draw(t, "troubles") {
			for range rapid.IntRange(1, 1+len(members)/2).Draw(t, "lost") {
				id := rapid.SampledFrom(members).Draw(t, "who").ID
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					w.down[id] = true
				case 1:
					w.cut[[2]string{id, rapid.SampledFrom(members).Draw(t, "from").ID}] = true
				case 2:
					w.start(members[0])
				}
			}
			w.run(rapid.IntRange(1, 8).Draw(t, "rounds"))
		}
		clear(w.cut)
		seedUp := false
		for _, s := range w.seeds {
			seedUp = seedUp || !w.down[s.ID]
		}
		if !seedUp {
			// Without any live seed, processes that know nobody cannot find the others.
			w.start(w.seeds[0])
		}
		w.run(20)
		w.check()
	})
}

// Processes that start to report to each other before any of them acts as a relay must not count
// each other's states again and again.
func TestRosterStart(t *testing.T) {
	for _, n := range []int{2, 4, 14, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := &rosterSim{now: time.Unix(1000, 0), nodes: make(map[string]*Roster[[]string])}
			w.down, w.cut = make(map[string]bool), make(map[[2]string]bool)
			members := testMembers(n)
			for _, m := range members {
				w.start(m)
			}
			for _, r := range w.nodes {
				r.Hint(w.now, members...)
			}
			for round := range 16 {
				w.run(1)
				for id, r := range w.nodes {
					counts := make(map[string]int)
					for _, s := range append(r.OtherStates(w.now, ""), []string{id}) {
						for _, other := range s {
							counts[other]++
						}
					}
					for other, times := range counts {
						// A process that changes its relay is known to both for a round.
						require.LessOrEqual(t, times, 2, "round %d: %s counts %s", round, id, other)
					}
				}
			}
		})
	}
}

// A process whose relays all fail still knows the members that they reported, so that it can select
// new relays from them without asking a seed.
func TestRosterKeepsMembersOfFailedRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	members := testMembers(30)
	relays := Relays(members, RelayCount(len(members)))
	self := members[slices.IndexFunc(members, func(m Member) bool { return !slices.Contains(relays, m) })]
	r := NewRoster[[]string](now, self, 3*time.Second)
	for _, m := range relays {
		r.HandleAnswer(now, RosterMessage[[]string]{From: m, Relay: true, Members: members}, true)
	}
	require.Len(t, r.Members(now), len(members))
	now = now.Add(time.Second)
	require.Equal(t, relays, r.Relays(now))
	for _, m := range relays {
		r.Failed(now, m.ID)
	}
	now = now.Add(expiryInterval)
	require.Len(t, r.Members(now), len(members)-len(relays))
	for _, m := range r.Relays(now) {
		require.NotContains(t, relays, m)
	}
	message := r.RelayMessage(now)
	require.Equal(t, r.Relays(now), message.Relays)
	require.Empty(t, message.Members)
}

// TestRendezvousOwner checks that numbers are spread evenly over the members, that the loss of a
// member changes the owners of its own numbers only, and that a member with zero power owns none.
func TestRendezvousOwner(t *testing.T) {
	var members []Member
	for i := range 10 {
		members = append(members, Member{ID: fmt.Sprint("m", i), Power: 1})
	}
	counts := make(map[string]int)
	for n := range uint64(2000) {
		before, ok := RendezvousOwner(members, n)
		require.True(t, ok)
		counts[before.ID]++
		after, _ := RendezvousOwner(members[1:], n)
		if before.ID != "m0" {
			require.Equal(t, before, after)
		}
	}
	for id, n := range counts {
		require.InDelta(t, 200, n, 60, id)
	}
	members[3].Power = 0
	for n := range uint64(200) {
		owner, _ := RendezvousOwner(members, n)
		require.NotEqual(t, "m3", owner.ID)
	}
	_, ok := RendezvousOwner(nil, 1)
	require.False(t, ok)
}
