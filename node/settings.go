package node

import (
	"errors"
	"net/netip"
	"time"

	"github.com/zeebo/errs/v2"
)

// Settings are the settings of a node.
type Settings struct {
	// Name is the name of the VM, Zone its failure domain.
	Name string
	Zone string
	// Callers, Readiness, Peers and Operators are the addresses that the node serves.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	// Seeds are the peer addresses of some other nodes, which may be down.
	Seeds []netip.AddrPort
	Store netip.AddrPort
	// Heartbeat is the heartbeat interval of targets.
	Heartbeat time.Duration
	// Memory is the memory limit of the process in bytes.
	Memory int64
	// Power is the CPU capacity of the VM in cores.
	Power  float64
	Bounds Bounds
}

// Bounds are the installation's limits on the behaviour of nodes.
type Bounds struct {
	// Drain is how long a target may still get work after it is known to be draining.
	Drain time.Duration
	// Grace is the time between a stop signal and the end of the process.
	Grace time.Duration
	// Apply is the time within which a configuration must be in force, Revoke the time within which
	// a removed key must be rejected.
	Apply  time.Duration
	Revoke time.Duration
	// RetryRatio and RetryReserve limit the retries of all nodes to a target's service.
	RetryRatio   float64
	RetryReserve float64
	// RetryWindow is the window over which retries are counted.
	RetryWindow time.Duration
	// LimitOverage is the fraction by which all nodes together may exceed an organisation's limit
	// in a window; LimitSlack is an allowance on top of it.
	LimitOverage float64
	LimitSlack   float64
	// Lease is the minimum time between the last order of one lease holder and the first of the
	// next.
	Lease time.Duration
	// Weights is how long older weights may be used after newer ones are named.
	Weights time.Duration
	// Contact is how long a process must have run before the bounds apply to it; zero if they apply
	// from its start.
	Contact time.Duration
	// Exposure is the share of a pool's requests that a release on trial may get; zero if the
	// installation sets none.
	Exposure float64
	// ReuseWindow is how long after its last use a cached part counts as still wanted.
	ReuseWindow time.Duration
}

// durationRange is a duration with its valid range.
type durationRange struct {
	value, least, most time.Duration
}

// Check returns all errors in the settings, joined.
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
		"heartbeat":        {s.Heartbeat, 50 * time.Millisecond, time.Minute},
		"drain bound":      {s.Bounds.Drain, 200 * time.Millisecond, time.Minute},
		"grace":            {s.Bounds.Grace, time.Second, 10 * time.Minute},
		"apply bound":      {s.Bounds.Apply, 200 * time.Millisecond, time.Minute},
		"revocation bound": {s.Bounds.Revoke, 500 * time.Millisecond, time.Minute},
		"retry window":     {s.Bounds.RetryWindow, time.Second, time.Hour},
		"lease bound":      {s.Bounds.Lease, 200 * time.Millisecond, time.Minute},
		"weights bound":    {s.Bounds.Weights, time.Second, time.Hour},
		"contact time":     {s.Bounds.Contact, 0, time.Minute},
		"reuse window":     {s.Bounds.ReuseWindow, time.Second, time.Hour},
	} {
		if r.value < r.least || r.value > r.most {
			bad("%s is %s, must be from %s to %s", name, r.value, r.least, r.most)
		}
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryRatio > 1 || s.Bounds.RetryReserve < 0 {
		bad("the bound of retries must be a share from 0 to 1 and a reserve of at least 0")
	}
	if s.Bounds.LimitOverage < 0 || s.Bounds.LimitOverage > 1 || s.Bounds.LimitSlack < 0 {
		bad("the bound of limits must be a share from 0 to 1 and a slack of at least 0")
	}
	if s.Bounds.Exposure < 0 || s.Bounds.Exposure > 1 {
		bad("the exposure of a release on trial must be a share from 0 to 1")
	}
	return errors.Join(faults...)
}

// The fractions of the installation's bounds that the node uses itself.
const (
	// revokeFraction leaves time for a request to reach a target after its key was checked.
	revokeFraction = 0.85
	// applyFraction is the fraction of the apply bound for which a configuration stays in use after
	// it was last known to be the newest, once a newer one is known. The newer one was acknowledged
	// after that moment; the rest of the bound is for the request's way to this node.
	applyFraction = 0.85
	// overdueFraction is the fraction of the apply bound for which a node leaves a newer
	// configuration to relays. A confirmation is up to a second old when a change is made, and
	// relays pass the change on within half a second.
	overdueFraction = 0.6
	// confirmedFraction is the maximum age of a confirmation, as a fraction of the apply bound, for
	// answering that a route or key does not exist.
	confirmedFraction = 0.75
	// listFraction is the time between two reads of the list as a fraction of the drain bound: two
	// reads and a lost answer fit into it.
	listFraction = 0.4
	// watchFraction is the duration of a watch as a fraction of the revocation bound, since every
	// answer confirms the configuration.
	watchFraction = 0.25
	// weightsFraction is the fraction of the weights bound for which older weights are used, and
	// the fraction of the contact time for which weights are used whose replacement time is
	// unknown.
	weightsFraction = 0.9
	// beginFraction is the fraction of the weights bound by which a request that was already sent
	// must begin; the rest is for withdrawing requests that still wait then.
	beginFraction = 0.97
	// memoryFraction is the fraction of the memory limit set as the soft limit of the garbage
	// collector.
	memoryFraction = 0.6
)

func fraction(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }
