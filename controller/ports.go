package controller

import (
	"context"
	"net/netip"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// Ports are the external systems a controller depends on; package wire
// implements them for production.
type Ports struct {
	// Table stores the leases and the configuration.
	Table   fleet.Table
	List    List
	Engines Engines
}

// List reads the platform's list of VMs.
type List interface {
	Read(ctx context.Context) ([]route.ListedTarget, error)
}

// Engines reads the state of engines and sends them orders.
type Engines interface {
	// State reads an engine's report of its state. The report contains neither
	// the engine's name nor anything else from the VM list.
	State(ctx context.Context, addr netip.AddrPort) (fleet.Engine, error)
	// Order sends an order. If it returns an error, the engine may have
	// executed the order nevertheless.
	Order(ctx context.Context, o fleet.Order) error
	// Probe requests a few tokens from an engine with the given weights.
	Probe(ctx context.Context, addr netip.AddrPort, w fleet.Want) error
}
