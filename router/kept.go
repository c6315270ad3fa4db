package router

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
)

// keptTimeout is the maximum duration of an export, and of an import, for which
// a request waits.
const keptTimeout = 2 * time.Second

// exportPrefix copies a frequently used prefix from an engine's cache to the
// kept KV store.
func (r *Router) exportPrefix(e route.Export) {
	ctx, cancel := context.WithTimeout(context.Background(), keptTimeout)
	defer cancel()
	stored := r.exportBlocks(ctx, e)
	r.Do(func(b *route.Board, _ time.Time) []route.Action {
		b.Exported(e, stored)
		return nil
	})
}

// exportBlocks reports whether the whole prefix was stored. An incomplete prefix
// is of no use and is not stored.
func (r *Router) exportBlocks(ctx context.Context, e route.Export) bool {
	store, ok := r.keptStore(e.Pool, e.Key)
	if !ok {
		return false
	}
	blocks := route.Chain(e.Salt, e.Text, route.BlockBytes, 1)
	held, err := r.engines.Export(ctx, e.Target.Target, blocks)
	if err != nil || len(held) < len(blocks) {
		return false
	}
	if err := r.engines.StoreBlocks(ctx, store, keptName(e.Key), held); err != nil {
		return false
	}
	r.events.Record(event.Event{
		Code: event.CacheExported, Request: e.Request, Target: e.Target.Target.String(),
		Detail: strconv.Itoa(len(held)) + " blocks as " + keptName(e.Key),
	})
	r.counters.exports.Inc()
	return true
}

// importKept loads a prefix from the kept KV store into an engine's cache before
// an attempt. The attempt proceeds even if the import fails.
func (r *Router) importKept(ctx context.Context, a route.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	if err := r.importBlocks(ctx, a); err != nil {
		r.Do(func(b *route.Board, _ time.Time) []route.Action {
			b.ImportFailed(a.Import.Key)
			return nil
		})
		return
	}
	r.events.Record(event.Event{
		Code: event.CacheImported, Request: a.Request, Attempt: a.ID, Target: a.Target.String(),
		Detail: strconv.Itoa(a.Import.Tokens) + " tokens as " + keptName(a.Import.Key),
	})
	r.counters.imports.Inc()
}

func (r *Router) importBlocks(ctx context.Context, a route.Attempt) error {
	store, ok := r.keptStore(a.Import.Pool, a.Import.Key)
	if !ok {
		return context.Canceled
	}
	blocks, err := r.engines.LoadBlocks(ctx, store, keptName(a.Import.Key))
	if err != nil {
		return err
	}
	return r.engines.Import(ctx, a.Target, blocks)
}

// keptName returns the key of a prefix in the kept KV store.
func keptName(key route.Block) string { return strconv.FormatUint(uint64(key), 16) }

// keptStore returns the target of a kept pool that stores a key.
func (r *Router) keptStore(pool string, key route.Block) (netip.AddrPort, bool) {
	r.Lock()
	defer r.Unlock()
	return r.Board().KeptStore(pool, key)
}
