package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

// A VM on the list is a target unless its label "kind" marks it as a router or a
// fleet process.
const (
	labelKind           = "kind"
	kindRouter          = "router"
	kindFleet           = "fleet"
	listRetryInterval   = 100 * time.Millisecond // after a failed read of the list
	cacheEventsInterval = 250 * time.Millisecond
)

// listLoop reads the VM list periodically and runs a poller for each target on it.
func (r *Router) listLoop(ctx context.Context) {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		list, err := r.list.Read(ctx)
		if err != nil {
			r.log.Debug("cannot read the VM list", "error", err)
			wait = listRetryInterval
			continue
		}
		r.applyListing(ctx, list)
		wait = r.jitter(r.set.PollEvery)
	}
}

// applyListing passes the targets on the list to the board, starts pollers for
// new targets and stops those of targets no longer listed.
func (r *Router) applyListing(ctx context.Context, list []route.ListedTarget) {
	targets := make([]route.ListedTarget, 0, len(list))
	listed := make(map[netip.AddrPort]bool, len(list))
	for _, s := range list {
		if k := s.Labels[labelKind]; k == kindRouter || k == kindFleet {
			continue
		}
		targets = append(targets, s)
		listed[s.Addr] = true
	}
	r.Do(func(b *route.Board, now time.Time) []route.Action { return b.SetTargets(now, targets) })
	r.Lock()
	defer r.Unlock()
	for addr := range listed {
		if _, ok := r.pollers[addr]; !ok {
			pollCtx, cancel := context.WithCancel(ctx)
			r.pollers[addr] = cancel
			go r.pollLoop(pollCtx, addr)
		}
	}
	for addr, cancel := range r.pollers {
		if !listed[addr] {
			cancel()
			delete(r.pollers, addr)
		}
	}
}

// pollLoop polls one target's state until the target is removed from the list.
func (r *Router) pollLoop(ctx context.Context, addr netip.AddrPort) {
	if r.set.CacheEvents {
		go r.cacheEventLoop(ctx, addr)
	}
	for {
		r.poll(ctx, addr)
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.jitter(r.set.PollEvery)):
		}
	}
}

func (r *Router) poll(ctx context.Context, addr netip.AddrPort) {
	r.Lock()
	inFlight := r.Board().InFlight(addr)
	r.Unlock()
	report, err := r.engines.Report(ctx, addr)
	if ctx.Err() != nil {
		return
	}
	r.Do(func(b *route.Board, now time.Time) []route.Action {
		switch {
		case transport.ConnectionRefused(err):
			return append(b.TargetCrashed(now, addr), b.Unreachable(now, addr)...)
		case err != nil:
			return b.Unreachable(now, addr)
		}
		report.InFlight = inFlight
		return b.Report(now, addr, report)
	})
}

// cacheEventLoop reads one engine's cache events periodically.
func (r *Router) cacheEventLoop(ctx context.Context, addr netip.AddrPort) {
	after := int64(0)
	var incarnation route.Incarnation
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.jitter(cacheEventsInterval)):
		}
		from, changes, err := r.engines.CacheEvents(ctx, addr, after)
		if err != nil {
			r.log.Debug("cannot read cache events", "target", addr, "error", err)
			continue
		}
		if from != incarnation {
			incarnation = from
			after = 0
		}
		r.Do(func(b *route.Board, now time.Time) []route.Action {
			after = b.CacheEvents(now, addr, from, after, changes)
			return nil
		})
	}
}
