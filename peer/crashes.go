package peer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/pathhead/pathhead/route"
)

// CrashMessage carries updates on targets that crashed while running requests from one
// process to another. It is omitted while neither has any updates.
type CrashMessage struct {
	// Known is the sender's position in the receiver's updates.
	Known CrashCursor
	// Words are the sender's updates that the receiver has not been sent yet, Cursor is the
	// receiver's position after them.
	Words  []route.CrashUpdate
	Cursor CrashCursor
}

// CrashCursor is a position in the crash updates of a process. Epoch is a random number that
// the process draws at its start; 32 bits are enough to tell two starts apart and encode briefly.
type CrashCursor struct {
	Epoch int64
	Next  int64
}

// CrashGossip exchanges crash updates with all peers. Each update is sent to a peer once,
// however many exchanges follow, and again after that peer was restarted.
type CrashGossip struct {
	epoch int64
	since func(after int64) (updates []route.CrashUpdate, version int64)
	merge func(updates []route.CrashUpdate)

	mu    sync.Mutex
	peers map[netip.AddrPort]crashPeerState
}

// crashPeerState holds the version of the local updates that a peer was sent, and the local position
// in the peer's updates.
type crashPeerState struct {
	sentVersion int64
	known       CrashCursor
}

// NewCrashGossip returns the crash gossip of a process: since returns the local updates after a
// version and the current version, merge takes the updates received from a peer.
func NewCrashGossip(since func(after int64) ([]route.CrashUpdate, int64), merge func([]route.CrashUpdate)) *CrashGossip {
	return &CrashGossip{epoch: int64(rand.Uint32N(math.MaxUint32)) + 1, since: since, merge: merge, peers: make(map[netip.AddrPort]crashPeerState)}
}

// NewRequest returns the message to send to the process at addr, nil if there is nothing to send.
func (t *CrashGossip) NewRequest(addr netip.AddrPort) *CrashMessage {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	p := t.peers[addr]
	t.mu.Unlock()
	out := t.updatesSince(p.sentVersion)
	if out == nil && p.known == (CrashCursor{}) {
		return nil
	}
	if out == nil {
		out = new(CrashMessage)
	}
	out.Known = p.known
	return out
}

// updatesSince returns the local updates after a version, nil if there are none.
func (t *CrashGossip) updatesSince(version int64) *CrashMessage {
	updates, now := t.since(version)
	if now == version {
		return nil
	}
	return &CrashMessage{Words: updates, Cursor: CrashCursor{Epoch: t.epoch, Next: now}}
}

// HandleResponse processes a peer's answer to the message asked; a nil answer has nothing new.
func (t *CrashGossip) HandleResponse(addr netip.AddrPort, asked, answer *CrashMessage) {
	if t == nil || asked == nil && answer == nil {
		return
	}
	t.mu.Lock()
	p := t.peers[addr]
	if asked != nil && asked.Cursor.Next > 0 {
		p.sentVersion = asked.Cursor.Next
	}
	if answer != nil {
		if p.known.Epoch != answer.Cursor.Epoch && p.known.Epoch != 0 {
			// The peer was restarted and has lost the updates that it was sent before.
			p.sentVersion = 0
		}
		p.known = answer.Cursor
	}
	t.peers[addr] = p
	t.mu.Unlock()
	if answer != nil && len(answer.Words) > 0 {
		t.merge(answer.Words)
	}
}

// maxCrashPeers bounds the number of peers whose positions are kept, three times the largest fleet expected.
const maxCrashPeers = 1200

// HandleFailure notes that a call to a peer failed. The updates of that call are sent again with the
// next one. The positions from before stay valid, since a restart shows by its epoch: resending
// all updates after each failed call made 82 nodes, some of them partitioned while many targets
// crashed, send each other hundreds of updates over and over. Beyond maxCrashPeers the peer may
// be gone for good, and its positions are deleted.
func (t *CrashGossip) HandleFailure(addr netip.AddrPort) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) > maxCrashPeers {
		delete(t.peers, addr)
	}
}

// HandleDirectRequest answers a message that a peer sent in a call made only for crash updates. The
// answer is never nil: a nil answer marks a peer of an older release, which ignores updates there.
func (t *CrashGossip) HandleDirectRequest(in *CrashMessage) *CrashMessage {
	if out := t.HandleRequest(in); out != nil {
		return out
	}
	return &CrashMessage{Cursor: in.Known}
}

// HandleRequest answers a message from a peer, with nil if there is nothing new.
func (t *CrashGossip) HandleRequest(in *CrashMessage) *CrashMessage {
	if t == nil {
		return nil
	}
	if in == nil {
		return t.updatesSince(0)
	}
	if len(in.Words) > 0 {
		t.merge(in.Words)
	}
	if in.Known.Epoch == t.epoch {
		return t.updatesSince(in.Known.Next)
	}
	out := t.updatesSince(0)
	if out == nil && in.Known.Epoch != 0 {
		// The peer sent its updates to an earlier process at this address. An answer with the
		// new epoch makes it send them again.
		out = &CrashMessage{Cursor: CrashCursor{Epoch: t.epoch}}
	}
	return out
}
