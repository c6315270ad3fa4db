package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// The labels by which a VM on the list is a target.
const (
	labelKind   = "kind"
	kindRouter  = "router"
	kindFleet   = "fleet"
	firstList   = 100 * time.Millisecond
	eventsEvery = 250 * time.Millisecond
)

// listLoop reads the VM list and runs a poller for each target on it.
func (r *Router) listLoop(ctx context.Context) {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		vms, err := r.vms.Read(ctx)
		if err != nil {
			wait = firstList
			continue
		}
		r.takeList(ctx, vms)
		wait = r.jitter(r.set.PollEvery)
	}
}

// takeList gives the board the targets on the list and starts and stops pollers.
func (r *Router) takeList(ctx context.Context, vms []wire.VM) {
	seen := make([]route.Seen, 0, len(vms))
	listed := make(map[netip.AddrPort]bool, len(vms))
	for _, vm := range vms {
		if k := vm.Labels[labelKind]; k == kindRouter || k == kindFleet {
			continue
		}
		seen = append(seen, route.Seen{Addr: vm.Addr, Labels: vm.Labels, Leaving: vm.Leaving()})
		listed[vm.Addr] = true
	}
	r.Do(func(b *route.Board, now time.Time) []route.Action { return b.Targets(now, seen) })
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

// pollLoop polls one target's state until it leaves the list.
func (r *Router) pollLoop(ctx context.Context, addr netip.AddrPort) {
	if r.set.CacheEvents {
		go r.eventLoop(ctx, addr)
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
	state, err := r.engines.State(ctx, addr)
	if ctx.Err() != nil {
		return
	}
	r.Do(func(b *route.Board, now time.Time) []route.Action {
		if err != nil {
			return b.Unreachable(now, addr)
		}
		return b.Report(now, addr, reportOf(state, inFlight))
	})
}

func reportOf(s wire.State, inFlight int) route.Report {
	rep := route.Report{
		Incarnation: s.Incarnation,
		Weights:     make(map[string]string, len(s.Models)),
		Adapters:    make(map[string][]string),
		Leaving:     s.Leaving,
		Loading:     s.Loading > 0,
		Running:     s.Running,
		Waiting:     s.Waiting,
		Slots:       s.Slots,
		PrefillRate: s.PrefillRate,
		InFlight:    inFlight,
	}
	for name, m := range s.Models {
		rep.Weights[name] = m.Weights
		if len(m.Adapters) > 0 {
			rep.Adapters[name] = m.Adapters
		}
	}
	return rep
}

// eventLoop reads one engine's cache events.
func (r *Router) eventLoop(ctx context.Context, addr netip.AddrPort) {
	after := int64(0)
	incarnation := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.jitter(eventsEvery)):
		}
		page, err := r.engines.Events(ctx, addr, after)
		if err != nil {
			continue
		}
		if page.Incarnation != incarnation {
			incarnation = page.Incarnation
			after = 0
		}
		r.Do(func(b *route.Board, now time.Time) []route.Action {
			after = b.CacheEvents(now, addr, page.Incarnation, after, changesOf(page.Events))
			return nil
		})
	}
}

func changesOf(events []wire.CacheEvent) []route.CacheChange {
	out := make([]route.CacheChange, 0, len(events))
	for _, e := range events {
		out = append(out, route.CacheChange{Seq: e.Seq, Evicted: e.Op != "store", Block: e.Block})
	}
	return out
}
