package peer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/pathhead/pathhead/route"
)

// CrashMessage is what one process tells another of targets that ended under requests. Where
// neither knows of any, nothing is sent.
type CrashMessage struct {
	// Known is how much the sender has of what the receiver knows.
	Known CrashCursor
	// Words are what the sender knows beyond what it told the receiver before, Cursor how much that is then.
	Words  []route.CrashUpdate
	Cursor CrashCursor
}

// CrashCursor is how much of a process's words another one has. Epoch is a number that the process draws
// at its start; 32 bits are enough to tell two starts apart and small to send.
type CrashCursor struct {
	Epoch int64
	Next  int64
}

// CrashGossip is a process's side of these words to all others. Each word is told to a process
// once, however often they speak, and again after that one was started anew.
type CrashGossip struct {
	epoch int64
	since func(after int64) (words []route.CrashUpdate, version int64)
	merge func(words []route.CrashUpdate)

	mu    sync.Mutex
	peers map[netip.AddrPort]crashPeerState
}

// crashPeerState is how much another process was told and has told.
type crashPeerState struct {
	sentVersion int64
	known       CrashCursor
}

// NewCrashGossip returns the side of a process that knows what since returns, beyond a version of
// it, and hears what others know by take.
func NewCrashGossip(since func(after int64) ([]route.CrashUpdate, int64), take func([]route.CrashUpdate)) *CrashGossip {
	return &CrashGossip{epoch: int64(rand.Uint32N(math.MaxUint32)) + 1, since: since, merge: take, peers: make(map[netip.AddrPort]crashPeerState)}
}

// NewRequest returns what to send to the process at addr, nil for nothing.
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

// updatesSince returns the own words beyond a version, nil where there are none.
func (t *CrashGossip) updatesSince(version int64) *CrashMessage {
	words, now := t.since(version)
	if now == version {
		return nil
	}
	return &CrashMessage{Words: words, Cursor: CrashCursor{Epoch: t.epoch, Next: now}}
}

// HandleResponse takes the answer to what was asked; nil says that there is nothing new.
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
			// It was started anew and has lost what it was told before.
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

// maxCrashPeers bounds the processes remembered, three times the largest fleet expected.
const maxCrashPeers = 1200

// HandleFailure notes that a process did not answer. What it was told in that call it is told again;
// what it told and was told before stands, and a start anew shows by its epoch. Told all once more
// after each call that failed, 82 nodes of which some were cut off as targets ended in herds sent
// each other hundreds of words again and again. One of too many processes may be gone for good and
// is forgotten.
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

// HandleDirectRequest answers what another process sent in a call of its own, and never with nil: one of an
// older release does not take words there and answers nothing.
func (t *CrashGossip) HandleDirectRequest(in *CrashMessage) *CrashMessage {
	if out := t.HandleRequest(in); out != nil {
		return out
	}
	return &CrashMessage{Cursor: in.Known}
}

// HandleRequest answers what another process sent, with nil for nothing new.
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
		// What it told the process that was here before is lost.
		out = &CrashMessage{Cursor: CrashCursor{Epoch: t.epoch}}
	}
	return out
}
