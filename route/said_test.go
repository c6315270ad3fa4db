package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// saidBoard is a board with a service of some targets that the list names, with their starts.
func saidBoard(t *testing.T, targets int) *Board {
	b := NewBoard(WithSeed(1))
	b.Adopt(epoch, testSetup{}.snapshot(t))
	listSaid(b, epoch, targets, "x", false)
	return b
}

// listSaid gives the board a list and reports that name an incarnation of the targets.
func listSaid(b *Board, now time.Time, targets int, incarnation Incarnation, leaving bool) {
	var seen []Seen
	for k := range targets {
		seen = append(seen, Seen{Addr: testAddr(k), Labels: map[string]string{"s": "s"}, Incarnation: incarnation, Leaving: leaving})
	}
	b.Targets(now, seen)
	for k := range targets {
		b.Report(now, testAddr(k), Report{Incarnation: incarnation, Leaving: leaving, Slots: 8})
	}
}

// An answer's word on leaving holds until the incarnation that gave it ends, whatever else is told of it.
func TestSaidLeavingHolds(t *testing.T) {
	leaves := Said{Leaving: true}
	of := func(i Incarnation) Mark { return Mark{testAddr(0), i} }
	for name, c := range map[string]struct {
		said  Mark
		then  func(b *Board)
		holds bool
	}{
		"at once": {of("x"), func(*Board) {}, true},
		"the list has it as ready": {of("x"), func(b *Board) {
			listSaid(b, epoch.Add(time.Second), 1, "x", false)
		}, true},
		"it leaves the list and is back": {of("x"), func(b *Board) {
			b.Targets(epoch.Add(time.Second), nil)
			listSaid(b, epoch.Add(2*time.Second), 1, "x", false)
		}, true},
		"an older answer does not say so": {of("x"), func(b *Board) { b.Said(epoch.Add(time.Second), of("x"), epoch, Said{}) }, true},
		"a peer does not say so": {of("x"), func(b *Board) {
			b.Peers(epoch.Add(time.Second), map[string]PeerState{"p": {}}, 2)
		}, true},
		"the list tells when it started": {of("x"), func(b *Board) {
			listSaid(b, epoch.Add(time.Second), 1, "x@1000", false)
		}, true},
		"a new start under its id": {of("x@1000"), func(b *Board) {
			listSaid(b, epoch.Add(time.Second), 1, "x@1000", false)
			listSaid(b, epoch.Add(2*time.Second), 1, "x@2000", false)
		}, false},
		"a new start at its address": {of("x"), func(b *Board) {
			listSaid(b, epoch.Add(time.Second), 1, "y", false)
		}, false},
		"another said it": {of("y"), func(*Board) {}, false},
		"another said it, which is listed now": {of("y"), func(b *Board) {
			listSaid(b, epoch.Add(time.Second), 1, "y", false)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := saidBoard(t, 1)
			b.Said(epoch, c.said, epoch, leaves)
			c.then(b)
			require.Equal(t, !c.holds, b.targets[testAddr(0)].usable())
			if c.holds {
				require.NotEmpty(t, b.State(epoch.Add(time.Second)).Leaving, "others are told")
			}
		})
	}
}
