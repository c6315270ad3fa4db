package node

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Intervals and long-poll durations for reading the cache events of targets.
const (
	// cacheHold is the long-poll duration of a cache event read, the longest that the
	// installation's targets allow.
	cacheHold = time.Second
	// firstCacheHold is the long-poll duration of the first read. A target with cached parts
	// answers it at once, one with an empty cache when it ends. Calls shorter than 200 ms are
	// priced as probes.
	firstCacheHold = 250 * time.Millisecond
	// cacheInterval is the minimum time between two reads, so that the events of a busy target
	// arrive in batches.
	cacheInterval = 150 * time.Millisecond
	// relayCacheInterval is the minimum time between two reads at a relay, which reads ten times as
	// many targets.
	relayCacheInterval = 400 * time.Millisecond
	// cacheRetry is the pause after a read that failed or that another incarnation answered.
	cacheRetry = 500 * time.Millisecond
)

// cacheReaders runs one loop for each engine whose cache events this node reads.
type cacheReaders struct {
	stop map[netip.AddrPort]context.CancelFunc
}

// update starts readers for the engines on the list and stops those of engines that are gone. A
// target accepts a bounded number of concurrent reads, so in a large installation a node reads only
// its share of the targets. No node reads the targets of large pools: there the owners of prompt
// parts know which targets the parts were sent to.
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

// cacheReaderFilter returns a function that reports whether this node reads the cache events of
// targets that accept the given number of readers: every node does in a fleet of at most that many
// nodes, and the relays do in a large fleet.
func (n *Node) cacheReaderFilter() func(readers int) bool {
	nodes, large := n.relays.size()
	leads := n.relays.isRelay()
	return func(readers int) bool { return large && leads || !large && nodes <= readers }
}

// cacheCursor is the position in the cache events of one incarnation of an engine.
type cacheCursor struct {
	incarnation  route.Incarnation
	since, epoch int64
}

// forIncarnation returns the cursor to use for an incarnation: c itself if it is of that
// incarnation, or else the start of the events.
func (c cacheCursor) forIncarnation(incarnation route.Incarnation) cacheCursor {
	if incarnation == c.incarnation {
		return c
	}
	return cacheCursor{incarnation: incarnation}
}

// readCache reads the cache events of one engine until ctx ends.
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
				// The request named a position of the previous epoch, so this page does not
				// continue it.
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

// applyCachePage applies a page of cache events to the board. It returns the next cursor and the
// pause before the next read.
func (n *Node) applyCachePage(target netip.AddrPort, at cacheCursor, page CachePage) (cacheCursor, time.Duration) {
	restarted := page.Epoch != at.epoch || page.Gap || at.since == 0
	n.Lock()
	defer n.Unlock()
	if n.Board().IncarnationOf(target) != at.incarnation {
		// The list named another incarnation during the read.
		return cacheCursor{}, cacheRetry
	}
	if !n.Board().PartChanges(n.now(), target, page.Start, restarted, page.Changes) {
		return cacheCursor{incarnation: at.incarnation}, cacheRetry
	}
	at.since, at.epoch = page.Next, page.Epoch
	if n.relays.isRelay() {
		return at, relayCacheInterval
	}
	return at, cacheInterval
}
