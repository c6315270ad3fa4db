package route

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNewTargetHasNoWait checks that a target whose loads no peer has reported yet is not taken for
// busy where peers announce their sends.
func TestNewTargetHasNoWait(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 1)
	f.b.AddPeerSends(f.now, nil)
	f.b.announcedAt = f.now
	tt := f.b.targets[testAddr(0)]
	require.Zero(t, tt.peersAt)
	require.Zero(t, f.b.jointWait(f.now, tt))
}

// Guards against a wait that counts prompts which peers announced before the reported loads were
// taken, beside the work since then.
func TestEarlierSendsAreInLoads(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		sent time.Duration
		want time.Duration
	}{
		"after the loads were taken":  {peerSendTTL, time.Second},
		"before the loads were taken": {peerSendTTL + 50*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPartsBoard(t, 1)
			tt := f.b.targets[testAddr(0)]
			prefill := int((time.Second + peerSendTTL).Seconds() * tt.rate())
			f.b.AddPeerSends(f.now, []SentRequest{{hashIncarnation(tt.hash, tt.incarnation), prefill}})
			now := f.now.Add(c.sent)
			f.b.MergePeers(now, map[string]PeerState{"others": {Speaks: 3}}, 4)
			require.InDelta(t, c.want.Seconds(), f.b.jointWait(now, tt).Seconds(), 0.01)
		})
	}
}

// TestPrefillDemandExpires checks that demand for prefill that other routers reported counts only
// for a while, also if no reports are merged any more.
func TestPrefillDemandExpires(t *testing.T) {
	t.Parallel()
	f := newPoolFleet(t, 2, hogAndSmall())
	b := f.boards[0]
	p := b.pools["e"]
	state := PeerState{Counted: 1, PrefillReporters: 1, Prefills: []PrefillDemand{{Pool: "e", Urgent: 1000}}}
	b.MergePeers(f.now, map[string]PeerState{"other": state}, 2)
	b.loadOf(f.now, p)
	require.InDelta(t, 1000, p.asked.total(f.now, 2).Urgent, 1)
	f.now = f.now.Add(peerUsageMaxAge + time.Millisecond)
	b.loadOf(f.now, p)
	require.Zero(t, p.asked.total(f.now, 2).Urgent)
	require.Zero(t, p.asked.reporters)
	old := state.Aged(peerUsageMaxAge + time.Millisecond)
	require.Empty(t, old.Prefills)
	require.Zero(t, old.PrefillReporters)
}

// TestPrefillReporters checks that a router that cannot report its demand for prefill is assumed to
// have as much as those that do, and one that has none is not.
func TestPrefillReporters(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		silent PeerState
		want   float64
	}{
		"without a demand": {silent: PeerState{Counted: 1, PrefillReporters: 1}, want: 2000},
		"unable to report": {silent: PeerState{Counted: 1}, want: 3000},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPoolFleet(t, 3, hogAndSmall())
			b := f.boards[0]
			reports := PeerState{Counted: 1, PrefillReporters: 1, Prefills: []PrefillDemand{{Pool: "e", Urgent: 2000}}}
			b.MergePeers(f.now, map[string]PeerState{"others": JoinStates([]PeerState{reports, c.silent})}, 3)
			require.InDelta(t, c.want, b.pools["e"].asked.total(f.now, 3).Urgent, 1)
		})
	}
	require.Equal(t, 1, newPartsBoard(t, 1).b.State(epoch).PrefillReporters)
	require.Zero(t, newPartsBoard(t, 1, WithoutMechanisms(JointAdmission)).b.State(epoch).PrefillReporters)
}

// TestPrefillDemandsBounded checks that merged demands keep the largest pools and their bound.
func TestPrefillDemandsBounded(t *testing.T) {
	t.Parallel()
	var states []PeerState
	for i := range 3 * maxPrefillDemands {
		states = append(states, PeerState{Prefills: []PrefillDemand{{Pool: fmt.Sprint("p", i), Other: float64(100 + i)}}})
	}
	joined := JoinStates(states).Prefills
	require.Len(t, joined, maxPrefillDemands)
	require.Equal(t, fmt.Sprint("p", 3*maxPrefillDemands-1), joined[0].Pool)
}

// TestUndefinedProbability checks that a limit does not admit a request whose probability of
// admission cannot be computed.
func TestUndefinedProbability(t *testing.T) {
	t.Parallel()
	s := newSharedBucket(epoch)
	s.others.asked = math.NaN()
	require.False(t, s.tryTake(epoch, grant{rate: 1, burst: 1}, 10, 0.5, false))
}
