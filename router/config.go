package router

import (
	"context"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// storeTimeout is the maximum duration of one read of the configuration.
const storeTimeout = 2 * time.Second

// configLoop adopts each new revision of the configuration. At startup it reads
// the table, the object store and the peers concurrently. Later it polls the
// table, and reads the object store and the peers only while the table is
// unavailable.
func (r *Router) configLoop(ctx context.Context) {
	r.initialConfig(ctx)
	pending := 0
	for {
		t := time.NewTimer(r.jitter(r.set.ConfigEvery))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-r.configWake:
			t.Stop()
		}
		pending = r.refreshConfig(ctx, pending)
	}
}

// initialConfig reads the configuration from all sources concurrently.
func (r *Router) initialConfig(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.adoptFromTable(ctx) })
	wg.Go(func() { r.adoptFromObjects(ctx) })
	wg.Go(func() { r.adoptFromPeers(ctx) })
	wg.Wait()
}

// refreshConfig reads the head once. pending counts the consecutive reads that
// found a newer revision accepted but not in force; the updated count is
// returned. From the second such read on, the router confirms the revision itself.
func (r *Router) refreshConfig(ctx context.Context, pending int) int {
	head, ok := r.adoptFromTable(ctx)
	if !ok {
		r.adoptFromObjects(ctx)
		if r.behind() {
			r.adoptFromPeers(ctx)
		}
		return 0
	}
	if head.Revision <= head.InForce {
		return 0
	}
	if pending++; pending > 1 {
		r.confirmRevision(ctx, head.Revision)
	}
	return pending
}

// adoptFromTable reads the head and adopts the revision in force.
func (r *Router) adoptFromTable(ctx context.Context) (fleet.Head, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	startedAt := time.Now()
	head, err := r.configs.Head(ctx)
	r.setStoreState(err)
	if err != nil {
		return head, false
	}
	r.counters.tableReads.Inc()
	if head.InForce > r.revision() {
		d, err := r.configs.Get(ctx, head.InForce)
		if err != nil {
			r.setStoreState(err)
			return head, false
		}
		r.adopt(d)
	}
	r.Lock()
	defer r.Unlock()
	r.adoption.Confirm(startedAt, head.InForce)
	r.applyServing()
	return head, true
}

// adoptFromObjects adopts the newest revision in the object store, which is
// never older than the one in force.
func (r *Router) adoptFromObjects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	startedAt := time.Now()
	d, ok, err := r.configs.Confirmed(ctx, r.revision())
	if err != nil {
		return
	}
	if ok {
		r.adopt(d)
	}
	r.Lock()
	defer r.Unlock()
	if rev := max(d.Revision, r.adoption.Revision()); rev > 0 {
		r.adoption.Confirm(startedAt, rev)
	}
	r.applyServing()
}

// adoptFromPeers adopts the newest revision that a seed or live peer has adopted.
func (r *Router) adoptFromPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, addr := range r.gossip.ExchangeWithAll(ctx) {
		wg.Go(func() {
			if d, ok, err := r.peers.Config(ctx, addr, r.id, r.revision()); err == nil && ok {
				r.adopt(d)
			}
		})
	}
	wg.Wait()
}

// confirmRevision puts an accepted revision in force, in case the operator's
// tool stopped before it did so.
func (r *Router) confirmRevision(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d, err := r.configs.Get(ctx, revision)
	if err != nil {
		return
	}
	if err := r.configs.Confirm(ctx, d); err != nil {
		return
	}
	r.events.Record(event.Event{Code: event.ConfigConfirmed, Revision: revision})
	r.wakeConfig()
}

// adopt compiles a document and puts it in force in this process if it is newer
// than the current one.
func (r *Router) adopt(d fleet.Document) {
	if d.Revision <= r.revision() {
		return
	}
	snap, err := d.Compile()
	if err != nil {
		r.events.Record(event.Event{Code: event.ConfigRejected, Revision: d.Revision, Detail: err.Error()})
		return
	}
	adopted := false
	r.Do(func(b *route.Board, now time.Time) []route.Action {
		if d.Revision <= r.adoption.Revision() {
			return nil
		}
		adopted = true
		r.adoption.Adopted(d.Revision)
		r.document = d
		return b.Adopt(now, snap)
	})
	if adopted {
		r.events.Record(event.Event{Code: event.ConfigAdopted, Revision: d.Revision, Detail: "by " + d.Author})
	}
}

// setStoreState records whether the last read of the table succeeded.
func (r *Router) setStoreState(err error) {
	r.Lock()
	defer r.Unlock()
	wasDown := r.adoption.Status(time.Now()).TableDown
	switch {
	case err != nil && !wasDown:
		r.events.Record(event.Event{Code: event.StoreDown, Detail: err.Error()})
	case err == nil && wasDown:
		r.events.Record(event.Event{Code: event.StoreBack})
	}
	if err != nil {
		r.adoption.TableDown()
		return
	}
	r.adoption.TableUp()
}

func (r *Router) revision() int64 {
	r.Lock()
	defer r.Unlock()
	return r.adoption.Revision()
}

// behind reports whether the router has no revision yet or knows of a newer one.
func (r *Router) behind() bool {
	r.Lock()
	defer r.Unlock()
	return r.adoption.Revision() == 0 || r.adoption.Behind()
}

// wakeConfig makes the configuration loop read the head immediately.
func (r *Router) wakeConfig() {
	select {
	case r.configWake <- struct{}{}:
	default:
	}
}

// applyServing opens or closes the board depending on whether the configuration
// is still confirmed, and reports whether the router serves. The caller holds the lock.
func (r *Router) applyServing() bool {
	if r.draining.Load() && r.Board().Closed() {
		return false
	}
	serving := r.adoption.Serving(time.Now())
	if serving != r.Board().Closed() {
		return serving
	}
	if serving {
		r.Board().Close(nil)
		r.events.Record(event.Event{Code: event.ProcessReady, Revision: r.adoption.Revision()})
		return true
	}
	r.Board().Close(&route.Refusal{
		Cause: route.CauseFenced, RetryAfter: time.Second,
		Detail: "the configuration could not be confirmed lately",
	})
	r.events.Record(event.Event{Code: event.ProcessFenced, Revision: r.adoption.Revision()})
	return false
}

// Config implements [peer.Handler].
func (r *Router) Config() (fleet.Document, bool) {
	r.Lock()
	defer r.Unlock()
	return r.document, r.document.Revision > 0
}

var _ peer.Handler = (*Router)(nil)
