package node

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// The times of reading caches' events.
const (
	// cacheHold is how long a target may hold a reading: the longest that the installation's targets allow.
	cacheHold = time.Second
	// firstCacheHold holds the first reading, which tells at once what is held already. A
	// target that holds nothing says so after it, and calls of less than 200 ms are
	// priced as probes.
	firstCacheHold = 250 * time.Millisecond
	// cacheInterval is the least time between two readings, so that a busy target's
	// events come in batches.
	cacheInterval = 150 * time.Millisecond
	// relayCacheInterval is the same at a relay, which reads ten times as many targets.
	relayCacheInterval = 400 * time.Millisecond
	// cacheRetry is the pause after a reading that failed or was of another start of the target.
	cacheRetry = 500 * time.Millisecond
)

// cacheReaders reads the events of the engines' caches, one loop for each engine.
type cacheReaders struct {
	stop map[netip.AddrPort]context.CancelFunc
}

// update starts readers of the engines on the list and stops those of others. A
// target holds a bounded number of readings at once, so in a large installation
// a node reads only as many targets as are its part. Those of large pools nobody follows:
// who was sent what is known to the homes of prompts' parts.
func (c *cacheReaders) update(ctx context.Context, n *Node) {
	if c.stop == nil {
		c.stop = make(map[netip.AddrPort]context.CancelFunc)
	}
	snap := n.snapshot()
	if snap == nil {
		return
	}
	wanted := make(map[netip.AddrPort]bool)
	reads := n.cacheReaderFilter()
	var list []*route.Entry
	if reads(math.MaxInt) {
		list = n.list.get()
	}
	for _, t := range list {
		p, ok := snap.Pool(t.Seen.Labels[LabelPool])
		if !ok || p.Kind == policy.KindService || p.CacheReaders == 0 {
			continue
		}
		if reads(p.CacheReaders) && n.list.Size(p.Name) == 0 {
			wanted[t.Seen.Addr] = true
		}
	}
	for addr, stop := range c.stop {
		if !wanted[addr] {
			stop()
			delete(c.stop, addr)
		}
	}
	for addr := range wanted {
		if _, ok := c.stop[addr]; ok {
			continue
		}
		readCtx, stop := context.WithCancel(ctx)
		c.stop[addr] = stop
		n.loops.Go(func() { n.readCache(readCtx, addr) })
	}
}

// cacheReaderFilter returns whether this node follows targets that take so many readers:
// all nodes of a fleet do that are not more, and the relays of a larger one.
func (n *Node) cacheReaderFilter() func(readers int) bool {
	nodes, large := n.relays.size()
	leads := n.relays.isRelay()
	return func(readers int) bool { return large && leads || !large && nodes <= readers }
}

// cacheCursor is how far the events of one incarnation of an engine were read.
type cacheCursor struct {
	incarnation  route.Incarnation
	since, epoch int64
}

// forIncarnation returns the cursor for an incarnation, whose events are read from their beginning if
// it is another than before.
func (c cacheCursor) forIncarnation(incarnation route.Incarnation) cacheCursor {
	if incarnation == c.incarnation {
		return c
	}
	return cacheCursor{incarnation: incarnation}
}

// readCache follows the events of one engine's cache.
func (n *Node) readCache(ctx context.Context, target netip.AddrPort) {
	var at cacheCursor
	hold := firstCacheHold
	for ctx.Err() == nil {
		n.Lock()
		at = at.forIncarnation(n.Board().IncarnationOf(target))
		n.Unlock()
		page, err := n.engines.CacheEvents(ctx, target, at.since, hold)
		wait := cacheRetry
		if err == nil {
			if page.Epoch != at.epoch && at.since > 0 {
				// These events were asked for by a number of the last epoch.
				at.since, at.epoch = 0, page.Epoch
				continue
			}
			at, wait = n.applyCachePage(target, at, page)
			hold = cacheHold
		}
		if !pause(ctx, wait) {
			return
		}
	}
}

// applyCachePage gives the board what an engine told of its cache, and returns where to go on
// and after which pause.
func (n *Node) applyCachePage(target netip.AddrPort, at cacheCursor, page CachePage) (cacheCursor, time.Duration) {
	anew := page.Epoch != at.epoch || page.Gap || at.since == 0
	n.Lock()
	defer n.Unlock()
	if n.Board().IncarnationOf(target) != at.incarnation {
		// The list told of another one while this was read.
		return cacheCursor{}, cacheRetry
	}
	if !n.Board().PartChanges(n.now(), target, page.Start, anew, page.Changes) {
		return cacheCursor{incarnation: at.incarnation}, cacheRetry
	}
	at.since, at.epoch = page.Next, page.Epoch
	if n.relays.isRelay() {
		return at, relayCacheInterval
	}
	return at, cacheInterval
}
