package controller

import (
	"context"
	"net/netip"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// Ports are what a controller speaks to; package wire has the product's own.
type Ports struct {
	// Table keeps the leases and the configuration.
	Table   fleet.Table
	List    List
	Engines Engines
}

// List reads the VMs that stand on the platform's list.
type List interface {
	Read(ctx context.Context) ([]route.ListedTarget, error)
}

// Engines is how engines are asked and ordered.
type Engines interface {
	// State reads an engine's own report, which knows neither its name nor what is on the list.
	State(ctx context.Context, addr netip.AddrPort) (fleet.Engine, error)
	// Order sends an order; after an error it may have been carried out.
	Order(ctx context.Context, o fleet.Order) error
	// Probe asks an engine for a few tokens under the wanted weights.
	Probe(ctx context.Context, addr netip.AddrPort, w fleet.Want) error
}
