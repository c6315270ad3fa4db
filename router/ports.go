package router

import (
	"context"
	"net/netip"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// Ports are what a router speaks to; package wire has the product's own.
type Ports struct {
	Table    fleet.Table
	Objects  fleet.Objects
	List     List
	Engines  Engines
	Protocol dispatch.Protocol
}

// List reads the VMs that stand on the platform's list.
type List interface {
	Read(ctx context.Context) ([]route.ListedTarget, error)
}

// Engines is how targets are asked about themselves and how cache is moved.
type Engines interface {
	// Report reads what a target says of itself.
	Report(ctx context.Context, addr netip.AddrPort) (route.Report, error)
	// CacheEvents reads the events of an engine's cache after a number.
	CacheEvents(ctx context.Context, addr netip.AddrPort, after int64) (incarnation route.Incarnation, changes []route.CacheChange, err error)
	// Export returns which of the blocks an engine holds and hands out, Import fills an engine's cache.
	Export(ctx context.Context, addr netip.AddrPort, blocks []route.Block) ([]route.Block, error)
	Import(ctx context.Context, addr netip.AddrPort, blocks []route.Block) error
	// Keep stores blocks under a key in a kept KV store, Kept reads them back.
	StoreBlocks(ctx context.Context, addr netip.AddrPort, key string, blocks []route.Block) error
	LoadBlocks(ctx context.Context, addr netip.AddrPort, key string) ([]route.Block, error)
}
