package node

import (
	"errors"
	"net/netip"
	"time"

	"github.com/zeebo/errs/v2"
)

// Settings are what a node is told by its installation.
type Settings struct {
	// Name is the VM's name, Zone the failure domain it stands in.
	Name string
	Zone string
	// Callers, Readiness, Peers and Operators are the addresses that the node serves.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	// Seeds are the peers' doors of some other nodes, which may be down.
	Seeds []netip.AddrPort
	Store netip.AddrPort
	// Heartbeat is the time between two signs of life of a target.
	Heartbeat time.Duration
	// Memory is the process's limit in bytes.
	Memory int64
	// Power is the processor that the VM has, in cores.
	Power  float64
	Bounds Bounds
}

// Bounds are the installation's bounds on what nodes do.
type Bounds struct {
	// Drain is how long after a target is known to leave it may still get work.
	Drain time.Duration
	// Grace is the time between a stop signal and the end of the process.
	Grace time.Duration
	// Apply is how soon a configuration must be in force, Revoke how soon a removed key must be.
	Apply  time.Duration
	Revoke time.Duration
	// RetryRatio and RetryReserve bound the repeats of all nodes to a target's service.
	RetryRatio   float64
	RetryReserve float64
	// RetryWindow is the time over which they are counted.
	RetryWindow time.Duration
	// LimitOverage is the share that all nodes together may go over an organisation's limit by
	// in a window, and LimitSlack what they may use then besides.
	LimitOverage float64
	LimitSlack   float64
	// Lease is how long after one holder's last order another's may come.
	Lease time.Duration
	// Weights is how long after newer weights are named older ones may be used.
	Weights time.Duration
	// Contact is how long a process must have run before the bounds hold for what it
	// does; zero where they hold from its start.
	Contact time.Duration
	// Exposure is the share of a pool's requests that a release on trial may get; zero
	// where the installation states none.
	Exposure float64
	// Again is how long after its last use a cached part counts as still wanted.
	ReuseWindow time.Duration
}

// durationRange is a setting with its bounds.
type durationRange struct {
	value, least, most time.Duration
}

// Check returns every fault of the settings in one error.
func (s Settings) Check() error {
	var faults []error
	bad := func(format string, args ...any) { faults = append(faults, errs.Errorf(format, args...)) }
	if s.Name == "" {
		bad("the node has no name")
	}
	for what, addr := range map[string]netip.AddrPort{
		"callers": s.Callers, "readiness": s.Readiness, "peers": s.Peers, "operators": s.Operators, "store": s.Store,
	} {
		if !addr.IsValid() {
			bad("the address of %s is missing", what)
		}
	}
	for name, r := range map[string]durationRange{
		"heartbeat":         {s.Heartbeat, 50 * time.Millisecond, time.Minute},
		"drain bound":       {s.Bounds.Drain, 200 * time.Millisecond, time.Minute},
		"grace":             {s.Bounds.Grace, time.Second, 10 * time.Minute},
		"apply bound":       {s.Bounds.Apply, 200 * time.Millisecond, time.Minute},
		"revocation bound":  {s.Bounds.Revoke, 500 * time.Millisecond, time.Minute},
		"repeats' window":   {s.Bounds.RetryWindow, time.Second, time.Hour},
		"lease bound":       {s.Bounds.Lease, 200 * time.Millisecond, time.Minute},
		"bound of weights":  {s.Bounds.Weights, time.Second, time.Hour},
		"time of contact":   {s.Bounds.Contact, 0, time.Minute},
		"time of last uses": {s.Bounds.ReuseWindow, time.Second, time.Hour},
	} {
		if r.value < r.least || r.value > r.most {
			bad("%s is %s, must be from %s to %s", name, r.value, r.least, r.most)
		}
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryRatio > 1 || s.Bounds.RetryReserve < 0 {
		bad("the bound of repeats must be a share from 0 to 1 and a number from 0")
	}
	if s.Bounds.LimitOverage < 0 || s.Bounds.LimitOverage > 1 || s.Bounds.LimitSlack < 0 {
		bad("the bound of limits must be a share from 0 to 1 and a number from 0")
	}
	if s.Bounds.Exposure < 0 || s.Bounds.Exposure > 1 {
		bad("the exposure of a release on trial must be a share from 0 to 1")
	}
	return errors.Join(faults...)
}

// The parts of the installation's bounds that the node allows itself.
const (
	// revokeFraction leaves room for a request's way to a target after the check of its key.
	revokeFraction = 0.85
	// applyFraction is how much of the apply bound a configuration is served under for after
	// it was last known to be the newest, once a newer one is known. The change was
	// acknowledged after that moment; the rest is for a request's way here.
	applyFraction = 0.85
	// overdueFraction is how much of it a node leaves to relays. A confirmation is up to a second
	// old when a change comes, and relays pass it on within half a second.
	overdueFraction = 0.6
	// confirmedFraction is the age of a confirmation, as a part of the apply bound, up to
	// which a node may say that a route or key does not exist.
	confirmedFraction = 0.75
	// listFraction is the time between two reads of the list of targets, as a part of
	// the drain bound: two reads and a lost answer fit into it.
	listFraction = 0.4
	// watchFraction is how long a watch of the declaration is held, as a part of the
	// revocation bound: every answer confirms the configuration.
	watchFraction = 0.25
	// weightsFraction is how much of the bound older weights are used for, and of the time
	// of contact those are of which nobody can tell when they were replaced.
	weightsFraction = 0.9
	// beginFraction is how much of it may be over when what was sent before begins; the rest
	// is for withdrawing what still waits then.
	beginFraction = 0.97
	// memoryFraction is the part of the memory limit at which the collector works harder.
	memoryFraction = 0.6
)

func fraction(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }
