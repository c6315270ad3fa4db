package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pathhead/pathhead/controller"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/router"
)

// process is the operators' address of a process and its answer or the error.
type process struct {
	door   netip.AddrPort
	status processStatus
	err    error
}

// processStatus is the status of a router or a fleet process.
type processStatus struct {
	router.Status
	Pools []controller.PoolStatus `json:"pools,omitempty"`
}

// discoverProcesses queries the given addresses and then, repeatedly, those of
// the peers in the answers, until all known processes have been queried.
func (t *Tool) discoverProcesses(ctx context.Context) []process {
	queried := make(map[netip.AddrPort]bool)
	var all []process
	next := t.doors
	for len(next) > 0 {
		answers := t.queryStatuses(ctx, next, queried)
		next = nil
		for _, p := range answers {
			all = append(all, p)
			for _, peer := range p.status.Peers {
				if peer.Door.IsValid() && !queried[peer.Door] {
					next = append(next, peer.Door)
				}
			}
		}
	}
	return all
}

// queryStatuses queries the addresses that have not been queried yet, concurrently.
func (t *Tool) queryStatuses(ctx context.Context, doors []netip.AddrPort, queried map[netip.AddrPort]bool) []process {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []process
	)
	for _, door := range doors {
		if queried[door] {
			continue
		}
		queried[door] = true
		wg.Go(func() {
			p := process{door: door}
			p.err = t.getJSON(ctx, door, "/v1/status", &p.status)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, p)
		})
	}
	wg.Wait()
	return out
}

// Status prints the status of every known process, the targets as one router
// sees them, and the pools.
func (t *Tool) Status(ctx context.Context) error {
	all := t.discoverProcesses(ctx)
	if t.output == OutputJSON {
		statuses := make([]processStatus, 0, len(all))
		for _, p := range all {
			statuses = append(statuses, p.status)
		}
		t.printJSON(statuses)
		return nil
	}
	err := t.printTable("PROCESS\tKIND\tDOOR\tREVISION\tSERVING\tPEERS\tIN FLIGHT", func(row func(string, ...any)) {
		for _, p := range all {
			if p.err != nil {
				row("?\t?\t%s\t\t%v\t\t", p.door, p.err)
				continue
			}
			s := p.status
			row("%s\t%s\t%s\t%d\t%t\t%d\t%d", s.Name, s.Kind, p.door, s.Revision, s.Serving, len(s.Peers), s.InFlight)
		}
	})
	if err != nil {
		return err
	}
	if err := t.printTargets(all); err != nil {
		return err
	}
	return t.printPools(all)
}

// printPools prints, for each pool whose lease holder answered, its engines and
// the changes in progress.
func (t *Tool) printPools(all []process) error {
	for _, p := range all {
		for _, pool := range p.status.Pools {
			if !pool.Held {
				continue
			}
			fmt.Fprintf(t.out, "\npool %s, held by %s with fencing number %d\n", pool.Pool, pool.Holder, pool.Fence)
			for rollout, why := range pool.Stopped {
				fmt.Fprintf(t.out, "the rollout of %s stopped: %s\n", rollout, why)
			}
			if pool.Blocked != "" {
				fmt.Fprintf(t.out, "nothing more is changed: %s\n", pool.Blocked)
			}
			if err := t.printEngines(pool.Engines); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Tool) printEngines(engines []controller.EngineStatus) error {
	return t.printTable("ENGINE\tDECLARED\tSEEN\tBUSY\tCHANGE\tWHY", func(row func(string, ...any)) {
		for _, e := range engines {
			row("%s\t%v\t%v\t%d\t%s\t%s", e.Name, e.Declared, e.Seen, e.Busy, e.Change, e.Why)
		}
	})
}

// printTargets prints the targets as seen by the first router that answered.
func (t *Tool) printTargets(all []process) error {
	for _, p := range all {
		if p.err != nil || p.status.Kind != peer.KindRouter {
			continue
		}
		fmt.Fprintln(t.out)
		return t.printTable("TARGET\tADDRESS\tPOOLS\tWEIGHTS\tLEAVING\tFAILING\tLIMIT\tRESTS\tHORIZON", func(row func(string, ...any)) {
			for _, v := range p.status.Targets {
				limit := "none"
				if v.Limit != nil {
					limit = fmt.Sprintf("%g/s", *v.Limit)
				}
				row("%s\t%s\t%v\t%v\t%t\t%t\t%s\t%s\t%s", v.Name, v.Addr, v.Pools, v.Weights, v.Leaving, v.Failing,
					limit, v.Rests.Round(time.Millisecond), v.Horizon.Round(time.Millisecond))
			}
		})
	}
	return nil
}
