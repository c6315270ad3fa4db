package ctl

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/dispatch"
	"github.com/pathhead/pathhead/route"
)

// FleetHeldRequest is a request, or a part of prompts, during which targets crashed,
// merged from the answers of several processes.
type FleetHeldRequest struct {
	route.HeldRequest
	// Processes is the number of processes that hold the request back.
	Processes int `json:"processes"`
	// Answered is the number of processes that answered.
	Answered int `json:"asked"`
}

// Held prints the requests during which targets crashed, as known to the
// processes at the given operators' addresses. All processes of a fleet should
// know the same requests.
func (t *Tool) Held(ctx context.Context, addrs []netip.AddrPort) error {
	lists, err := t.queryHeld(ctx, addrs)
	if err != nil {
		return err
	}
	held := mergeHeld(lists)
	if t.output == OutputJSON {
		t.printJSON(held)
		return nil
	}
	return t.printTable("FINGERPRINT\tOF\tHELD\tLEFT\tBY\tORGANISATION\tSERVICE\tLAST END\tENDED UNDER IT", func(row func(string, ...any)) {
		for _, h := range held {
			row("%s\t%s\t%t\t%s\t%d of %d\t%s\t%s\t%s ago\t%s", h.Print, h.kind(), h.Held, h.Left.Round(time.Second), h.Processes, h.Answered,
				h.Org, h.Pool, h.Age.Round(time.Second), strings.Join(h.Targets, ", "))
		}
	})
}

// kind returns what the fingerprint identifies.
func (f *FleetHeldRequest) kind() string {
	if f.Part {
		return "part"
	}
	return "request"
}

// queryHeld queries all processes concurrently. It fails if none of them answers.
func (t *Tool) queryHeld(ctx context.Context, addrs []netip.AddrPort) ([][]route.HeldRequest, error) {
	lists := make([][]route.HeldRequest, len(addrs))
	failures := make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { failures[i] = t.getJSON(ctx, addr, dispatch.PathHeld, &lists[i]) })
	}
	wg.Wait()
	var out [][]route.HeldRequest
	var last error
	for i := range addrs {
		if failures[i] != nil {
			last = failures[i]
			continue
		}
		out = append(out, lists[i])
	}
	if len(out) == 0 {
		return nil, errs.Errorf("no process answered: %w", last)
	}
	return out, nil
}

// mergeHeld merges the answers of several processes and sorts the requests by
// the number of processes that hold them back, highest first.
func mergeHeld(lists [][]route.HeldRequest) []FleetHeldRequest {
	all := make(map[route.Fingerprint]*FleetHeldRequest)
	for _, list := range lists {
		for _, h := range list {
			known, ok := all[h.Print]
			if !ok {
				known = &FleetHeldRequest{HeldRequest: h, Answered: len(lists)}
				all[h.Print] = known
			}
			known.merge(h)
		}
	}
	out := make([]FleetHeldRequest, 0, len(all))
	for _, h := range all {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(a, b FleetHeldRequest) int {
		if a.Processes != b.Processes {
			return b.Processes - a.Processes
		}
		return strings.Compare(a.Print.String(), b.Print.String())
	})
	return out
}

// merge adds one process's state of the request.
func (f *FleetHeldRequest) merge(h route.HeldRequest) {
	if h.Held {
		f.Held = true
		f.Left = max(f.Left, h.Left)
		f.Processes++
	}
	f.Part = f.Part || h.Part
	if h.Org != "" {
		f.Org, f.Pool = h.Org, h.Pool
	}
	if len(h.Targets) > len(f.Targets) {
		f.Targets = h.Targets
	}
	f.Age = min(f.Age, h.Age)
}

// Release makes the fleet stop holding back a request. It asks the processes at
// the addresses in turn until one of them knows the request; that one informs
// the others.
func (t *Tool) Release(ctx context.Context, f route.Fingerprint, addrs []netip.AddrPort) error {
	var last error
	for _, addr := range addrs {
		if last = t.release(ctx, addr, f); last == nil {
			return nil
		}
	}
	return errs.Errorf("request %s was not released: %w", f, last)
}

func (t *Tool) release(ctx context.Context, addr netip.AddrPort, f route.Fingerprint) error {
	url := t.scheme + "://" + addr.String() + dispatch.PathRelease + "?fingerprint=" + f.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return errs.Wrap(err)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return errs.Errorf("door %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errs.Errorf("door %s: %s", addr, resp.Status)
	}
	return nil
}
