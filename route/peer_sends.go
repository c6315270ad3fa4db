package route

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// SentRequest says that a request was just sent to a target and what it has to read there.
type SentRequest struct {
	// Target is the number of one incarnation of a target, by [Mark.Number].
	Target  uint64
	Prefill int
}

// Hash is a short name of one incarnation of a target, the same on all routers.
func (m TargetKey) Hash() uint64 { return hashIncarnation(hashAddr(m.Target), m.Incarnation) }

func hashIncarnation(addrHash uint64, incarnation Incarnation) uint64 {
	return xxh3.HashStringSeed(string(incarnation), addrHash)
}

// peerSendTTL is how long a request counts besides the loads that relays tell, which
// are as old in the mean: a pause between two reports to a relay and one at it.
const peerSendTTL = 350 * time.Millisecond

// peerSend is what a request of a peer has to read, and when it was told of.
type peerSend struct {
	at      time.Time
	prefill int
}

// AddPeerSends takes the word that peers sent requests just now.
func (b *Board) AddPeerSends(now time.Time, sends []SentRequest) {
	byNumber := make(map[uint64]*target, len(b.targets))
	for _, t := range b.targets {
		byNumber[hashIncarnation(t.hash, t.incarnation)] = t
	}
	for _, s := range sends {
		if t, ok := byNumber[s.Target]; ok {
			t.dropOldPeerSends(now)
			t.peerSends = append(t.peerSends, peerSend{now, s.Prefill})
		}
	}
}

// dropOldPeerSends forgets what no longer counts: of most targets nobody asks for it in between.
func (t *target) dropOldPeerSends(now time.Time) {
	t.peerSends = slices.DeleteFunc(t.peerSends, func(s peerSend) bool { return now.Sub(s.at) > peerSendTTL })
}

// peerSendPrefill is what is left of what peers sent just now, in tokens.
func (t *target) peerSendPrefill(now time.Time) float64 {
	left, at := 0.0, time.Time{}
	t.dropOldPeerSends(now)
	for _, s := range t.peerSends {
		left = max(0, left-s.at.Sub(at).Seconds()*t.rate()) + float64(s.prefill)
		at = s.at
	}
	return max(0, left-now.Sub(at).Seconds()*t.rate())
}
