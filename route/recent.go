package route

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Recent says that a request was just sent to a target and what it has to read there.
type Recent struct {
	// Target is the number of one incarnation of a target, by [Mark.Number].
	Target  uint64
	Prefill int
}

// Number is a short name of one incarnation of a target, the same on all routers.
func (m Mark) Number() uint64 { return numberOf(hashAddr(m.Target), m.Incarnation) }

func numberOf(addrHash uint64, incarnation Incarnation) uint64 {
	return xxh3.HashStringSeed(string(incarnation), addrHash)
}

// recentTime is how long a request counts besides the loads that relays tell, which
// are as old in the mean: a pause between two reports to a relay and one at it.
const recentTime = 350 * time.Millisecond

// recentSend is what a request of a peer has to read, and when it was told of.
type recentSend struct {
	at      time.Time
	prefill int
}

// Recently takes the word that peers sent requests just now.
func (b *Board) Recently(now time.Time, sends []Recent) {
	byNumber := make(map[uint64]*target, len(b.targets))
	for _, t := range b.targets {
		byNumber[numberOf(t.hash, t.incarnation)] = t
	}
	for _, s := range sends {
		if t, ok := byNumber[s.Target]; ok {
			t.dropRecent(now)
			t.recent = append(t.recent, recentSend{now, s.Prefill})
		}
	}
}

// dropRecent forgets what no longer counts: of most targets nobody asks for it in between.
func (t *target) dropRecent(now time.Time) {
	t.recent = slices.DeleteFunc(t.recent, func(s recentSend) bool { return now.Sub(s.at) > recentTime })
}

// recentPrefill is what is left of what peers sent just now, in tokens.
func (t *target) recentPrefill(now time.Time) float64 {
	left, at := 0.0, time.Time{}
	t.dropRecent(now)
	for _, s := range t.recent {
		left = max(0, left-s.at.Sub(at).Seconds()*t.rate()) + float64(s.prefill)
		at = s.at
	}
	return max(0, left-now.Sub(at).Seconds()*t.rate())
}
