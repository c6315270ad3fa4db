package router

import (
	"context"
	"net/netip"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// Ports are the external systems a router depends on; package wire implements
// them for production.
type Ports struct {
	Table    fleet.Table
	Objects  fleet.Objects
	List     List
	Engines  Engines
	Protocol dispatch.Protocol
}

// List reads the platform's list of VMs.
type List interface {
	Read(ctx context.Context) ([]route.ListedTarget, error)
}

// Engines reads the state of targets and moves cached blocks between engines
// and KV stores.
type Engines interface {
	// Report reads a target's report of its own state.
	Report(ctx context.Context, addr netip.AddrPort) (route.Report, error)
	// CacheEvents reads the events of an engine's cache that follow sequence number after.
	CacheEvents(ctx context.Context, addr netip.AddrPort, after int64) (incarnation route.Incarnation, changes []route.CacheChange, err error)
	// Export exports blocks from an engine's cache and returns those that it had.
	Export(ctx context.Context, addr netip.AddrPort, blocks []route.Block) ([]route.Block, error)
	// Import loads blocks into an engine's cache.
	Import(ctx context.Context, addr netip.AddrPort, blocks []route.Block) error
	// StoreBlocks stores blocks under a key in a kept KV store.
	StoreBlocks(ctx context.Context, addr netip.AddrPort, key string, blocks []route.Block) error
	// LoadBlocks reads the blocks stored under a key in a kept KV store.
	LoadBlocks(ctx context.Context, addr netip.AddrPort, key string) ([]route.Block, error)
}
