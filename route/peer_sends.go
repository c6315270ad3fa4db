package route

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// SentRequest reports that a request was just sent to a target, and what the target has to read for
// it.
type SentRequest struct {
	// Target is the incarnation of the target, as returned by [TargetKey.Hash].
	Target  uint64
	Prefill int
}

// Hash returns a short identifier of the incarnation, which is the same on all routers.
func (m TargetKey) Hash() uint64 { return hashIncarnation(hashAddr(m.Target), m.Incarnation) }

func hashIncarnation(addrHash uint64, incarnation Incarnation) uint64 {
	return xxh3.HashStringSeed(string(incarnation), addrHash)
}

// peerSendTTL is how long a request counts in addition to the loads reported over relays. It is the
// mean age of those: one interval between reports to a relay and one at the relay.
const peerSendTTL = 350 * time.Millisecond

// peerSend is what a peer's request has to read, and when it was reported.
type peerSend struct {
	at      time.Time
	prefill int
}

// AddPeerSends records requests that peers have just sent.
func (b *Board) AddPeerSends(now time.Time, sends []SentRequest) {
	byNumber := make(map[uint64]*target, len(b.targets))
	for _, t := range b.targets {
		byNumber[hashIncarnation(t.hash, t.incarnation)] = t
	}
	if len(sends) > 0 {
		b.announcedAt = now
	}
	for _, s := range sends {
		if t, ok := byNumber[s.Target]; ok {
			t.dropOldPeerSends(now)
			t.peerSends = append(t.peerSends, peerSend{now, s.Prefill})
		}
	}
}

// dropOldPeerSends drops entries that count no more. Most targets are not queried in between, so they are also
// dropped on insertion.
func (t *target) dropOldPeerSends(now time.Time) {
	t.peerSends = slices.DeleteFunc(t.peerSends, func(s peerSend) bool { return now.Sub(s.at) > peerMemoryTTL })
}

// peerSendPrefill returns what is left to read of the requests that peers have just sent, in
// tokens.
func (t *target) peerSendPrefill(now time.Time) float64 {
	left, at := 0.0, time.Time{}
	t.dropOldPeerSends(now)
	for _, s := range t.peerSends {
		if now.Sub(s.at) > peerSendTTL {
			continue
		}
		left = max(0, left-s.at.Sub(at).Seconds()*t.rate()) + float64(s.prefill)
		at = s.at
	}
	return max(0, left-now.Sub(at).Seconds()*t.rate())
}
