package node

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
)

// A node that cannot read the list takes it from one that can. The entry of a target may disappear
// without notice, and only a node that reads the list throughout distinguishes a target that left from
// one whose entry expired while the store was down.

// lendAgeFraction is the age of the list, as a fraction of the drain bound, from which on a node
// takes it from others: its own next reading is late by then.
const lendAgeFraction = 0.5

// listLender is a node that offers its reading of the list.
type listLender struct {
	id   string
	addr netip.AddrPort
	listReading
}

// newListLender returns the lender that made an offer at the time at.
func newListLender(id string, addr netip.AddrPort, at time.Time, o peer.ListOffer) listLender {
	return listLender{id, addr, listReading{at: at.Add(-o.Age), relayed: true, steady: o.Steady}}
}

// offer returns what other nodes may take from this one.
func (l *targetList) offer(now time.Time) peer.ListOffer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentOffer(now)
}

// currentOffer is offer for a caller that holds l.mu. A list that does not fit in one message is not
// offered.
func (l *targetList) currentOffer(now time.Time) peer.ListOffer {
	if l.readAt.IsZero() || l.partial || len(l.targets) > largePoolSize {
		return peer.ListOffer{}
	}
	return peer.ListOffer{Age: max(now.Sub(l.readAt), 1), Steady: l.readAt.Sub(l.steadyFrom)}
}

// steady returns the time before a reading that began at the time at in which the list was read without
// an outage of the store.
func (l *targetList) steady(at time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, at.Sub(l.steadyFrom))
}

// lend returns the list for a node that cannot read it.
func (l *targetList) lend(now time.Time) (p peer.ListPage, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.currentOffer(now)
	if o.Age == 0 {
		return p, false
	}
	p.News = peer.RelayUpdate{ListAge: o.Age, Steady: o.Steady}
	p.Entries = l.withoutRetained()
	return p, true
}

// needs reports whether this node needs a reading of another node: a newer one, if the known one is
// older than maxAge, or one that shows which of the retained targets left.
func (l *targetList) needs(now time.Time, r listReading, maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.at.After(l.readAt) && (now.Sub(l.readAt) > maxAge || len(l.missing) > 0 && r.settled())
}

// listLenders returns the nodes that offer a reading of the list that this node needs.
func (n *Node) listLenders() []listLender {
	now := n.now()
	var offers []listLender
	if _, large := n.relays.size(); large {
		offers = n.relays.lenders(now)
	} else {
		for _, e := range n.gossip.LiveWithAge() {
			if o := e.Payload.List; o.Age > 0 {
				offers = append(offers, newListLender(e.ID, e.Addr, now.Add(-e.Age), o))
			}
		}
	}
	maxAge := fraction(n.settings().Bounds.Drain, lendAgeFraction)
	return slices.DeleteFunc(offers, func(l listLender) bool { return !n.list.needs(now, l.listReading, maxAge) })
}

// borrowList takes the list from another node in the background, if this node needs it.
func (n *Node) borrowList(ctx context.Context) {
	lenders := n.listLenders()
	if len(lenders) == 0 || !n.borrowing.CompareAndSwap(false, true) {
		return
	}
	// Readings that pass through several nodes age on the way.
	from := slices.MaxFunc(lenders, func(a, b listLender) int { return a.at.Compare(b.at) })
	n.loops.Go(func() {
		defer n.borrowing.Store(false)
		n.borrowListFrom(ctx, from)
	})
}

// borrowListFrom takes the list from another node.
func (n *Node) borrowListFrom(ctx context.Context, from listLender) {
	begun := n.now()
	p, err := n.peers.List(ctx, from.addr, peer.ListQuery{Complete: true})
	if err != nil || p.More {
		n.log.Debug("taking the list of another node failed", "node", from.id, "error", err)
		return
	}
	r := listReading{at: begun.Add(-p.News.ListAge), relayed: true, steady: p.News.Steady}
	if !n.list.needs(begun, r, 0) {
		return
	}
	if n.list.beginBorrowing() {
		n.events.Record(event.Event{Code: event.ListBorrowed, Detail: from.id})
	}
	n.list.intern(p.Entries)
	n.applyListing(r, Listing{Targets: p.Entries})
}

// beginBorrowing records that the list is another node's until this node reads it itself. It reports
// whether that is new.
func (l *targetList) beginBorrowing() (begun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun = !l.borrowed
	l.borrowed = true
	return begun
}

// addLender records the list that a reporter offers to this relay.
func (r *relays) addLender(from fleet.Member, o peer.ListOffer) {
	if o.Age <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offers[from.ID] = newListLender(from.ID, from.Addr, r.n.now(), o)
}

// lenders returns the reporters that recently offered their list.
func (r *relays) lenders(now time.Time) []listLender {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.offers, func(_ string, l listLender) bool { return now.Sub(l.at) > rosterTimeout })
	return slices.Collect(maps.Values(r.offers))
}
