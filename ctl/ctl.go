package ctl

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/controller"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/router"
	"github.com/pathhead/pathhead/wire"
)

// Output is the form that results are printed in.
type Output string

// The forms of output: tables for people, JSON for scripts.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Tool carries out the commands of pathheadctl.
type Tool struct {
	configs fleet.Configs
	doors   []netip.AddrPort
	vms     *wire.VMList
	client  *http.Client
	scheme  string
	out     io.Writer
	form    Output
}

// Option changes a [Tool] at its construction.
type Option func(*Tool)

// WithStores sets where configurations are kept.
func WithStores(t fleet.Table, o fleet.Objects) Option {
	return func(c *Tool) { c.configs = fleet.Configs{Table: t, Objects: o} }
}

// WithDoors sets the operators' doors that are asked first; others are found through them.
func WithDoors(doors ...netip.AddrPort) Option {
	return func(c *Tool) { c.doors = doors }
}

// WithVMs sets the list against which selectors are tried.
func WithVMs(l *wire.VMList) Option {
	return func(c *Tool) { c.vms = l }
}

// WithTLS sets the operator's certificate.
func WithTLS(cfg *tls.Config) Option {
	return func(c *Tool) {
		c.scheme = "https"
		c.client.Transport = &http.Transport{TLSClientConfig: cfg}
	}
}

// doorTimeout bounds one question to an operators' door.
const doorTimeout = 3 * time.Second

// New returns a tool that prints to out.
func New(out io.Writer, form Output, opts ...Option) *Tool {
	t := &Tool{out: out, form: form, scheme: "http", client: &http.Client{Timeout: doorTimeout}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// ApplyOptions say how a file is applied.
type ApplyOptions struct {
	File   string
	Author string
	DryRun bool
	// Base is the revision that the file was made from; negative takes the newest.
	Base int64
	// Wait bounds the time until the revision is in force at all routers.
	Wait time.Duration
}

// Apply offers a file as the next revision. It returns an error wrapping
// [fleet.ErrSuperseded] if another operator came first and
// [fleet.ErrUnsettled] if the platform did not say.
func (t *Tool) Apply(ctx context.Context, o ApplyOptions) error {
	text, err := os.ReadFile(o.File)
	if err != nil {
		return errs.Wrap(err)
	}
	cfg, err := policy.Parse(o.File, text)
	if err != nil {
		return err
	}
	t.warn(ctx, o.File, cfg)
	base, old, err := t.base(ctx, o.Base)
	if err != nil {
		return err
	}
	t.printDiff(base, old, o.File, string(text))
	if o.DryRun {
		return nil
	}
	return t.offer(ctx, o, base, string(text))
}

// warn prints the selectors that match no VM now.
func (t *Tool) warn(ctx context.Context, file string, cfg *policy.Config) {
	if t.vms == nil {
		return
	}
	vms, err := t.vms.Read(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "warning: selectors were not tried: %v\n", err)
		return
	}
	snap, err := policy.Compile(cfg, 0)
	if err != nil {
		return
	}
	var sets []map[string]string
	for _, vm := range vms {
		sets = append(sets, vm.Labels)
	}
	for _, p := range snap.Unmatched(sets) {
		p.File = file
		fmt.Fprintln(os.Stderr, p.Error())
	}
}

// base returns the revision that a new one follows and its text.
func (t *Tool) base(ctx context.Context, want int64) (int64, string, error) {
	if want < 0 {
		head, err := t.configs.Head(ctx)
		if err != nil {
			return 0, "", err
		}
		want = head.Revision
	}
	if want == 0 {
		return 0, "", nil
	}
	d, err := t.configs.Get(ctx, want)
	return want, d.Text, err
}

func (t *Tool) printDiff(base int64, old, file, text string) {
	if t.form == OutputJSON {
		return
	}
	d := diff.Diff(fmt.Sprintf("revision %d", base), []byte(old), file, []byte(text))
	if len(d) == 0 {
		fmt.Fprintln(t.out, "no change")
		return
	}
	_, _ = t.out.Write(d)
}

func (t *Tool) offer(ctx context.Context, o ApplyOptions, base int64, text string) error {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	stored, err := t.configs.Apply(ctx, base, fleet.Document{
		WriteID: rand.Text(), Author: o.Author, At: time.Now().UTC(), Text: text,
	})
	if errors.Is(err, fleet.ErrSuperseded) {
		fmt.Fprintf(os.Stderr, "%s changed this first, in revision %d:\n", stored.Author, stored.Revision)
		t.printDiff(stored.Revision, stored.Text, o.File, text)
		return err
	}
	if err != nil {
		return err
	}
	return t.awaitRouters(ctx, stored.Revision)
}

// applied is what apply prints for scripts.
type applied struct {
	Revision int64    `json:"revision"`
	Routers  int      `json:"routers"`
	Missing  []string `json:"missing"`
}

// awaitPause is the time between questions whether a revision is in force.
const awaitPause = 100 * time.Millisecond

// awaitRouters waits until every router that can be reached serves under the revision.
func (t *Tool) awaitRouters(ctx context.Context, revision int64) error {
	result := applied{Revision: revision}
	for len(t.doors) > 0 {
		result.Routers, result.Missing = t.serving(ctx, revision)
		if len(result.Missing) == 0 && result.Routers > 0 {
			break
		}
		select {
		case <-ctx.Done():
			t.printApplied(result)
			return errs.Errorf("revision %d is accepted but was not seen in force at: %v", revision, result.Missing)
		case <-time.After(awaitPause):
		}
	}
	t.printApplied(result)
	return nil
}

func (t *Tool) printApplied(a applied) {
	if t.form == OutputJSON {
		t.json(a)
		return
	}
	fmt.Fprintf(t.out, "revision %d is in force at %d routers\n", a.Revision, a.Routers-len(a.Missing))
}

// serving counts the routers and names those that are below a revision.
func (t *Tool) serving(ctx context.Context, revision int64) (n int, missing []string) {
	for _, p := range t.processes(ctx) {
		if p.err != nil {
			missing = append(missing, p.door.String())
			continue
		}
		if p.status.Kind != wire.KindRouter {
			continue
		}
		n++
		if p.status.Revision < revision {
			missing = append(missing, p.status.Name)
		}
	}
	return n, missing
}

// process is a process's door and what it answered.
type process struct {
	door   netip.AddrPort
	status processStatus
	err    error
}

// processStatus is what either kind of process says of itself.
type processStatus struct {
	router.Status
	Pools []controller.PoolStatus `json:"pools,omitempty"`
}

// processes asks every door, those given and those the processes behind them know of.
func (t *Tool) processes(ctx context.Context) []process {
	asked := make(map[netip.AddrPort]bool)
	var all []process
	next := t.doors
	for len(next) > 0 {
		answers := t.askAll(ctx, next, asked)
		next = nil
		for _, p := range answers {
			all = append(all, p)
			for _, peer := range p.status.Peers {
				if peer.Door.IsValid() && !asked[peer.Door] {
					next = append(next, peer.Door)
				}
			}
		}
	}
	return all
}

func (t *Tool) askAll(ctx context.Context, doors []netip.AddrPort, asked map[netip.AddrPort]bool) []process {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []process
	)
	for _, door := range doors {
		if asked[door] {
			continue
		}
		asked[door] = true
		wg.Go(func() {
			p := process{door: door}
			p.err = t.ask(ctx, door, "/v1/status", &p.status)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, p)
		})
	}
	wg.Wait()
	return out
}

// maxAnswer bounds a door's answer in bytes.
const maxAnswer = 64 << 20

func (t *Tool) ask(ctx context.Context, door netip.AddrPort, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.scheme+"://"+door.String()+path, nil)
	if err != nil {
		return errs.Wrap(err)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return errs.Errorf("door %s: %w", door, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errs.Errorf("door %s: status %d", door, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into); err != nil {
		return errs.Errorf("door %s: %w", door, err)
	}
	return nil
}

// Get prints a revision's text; zero is the newest.
func (t *Tool) Get(ctx context.Context, revision int64) error {
	if revision == 0 {
		head, err := t.configs.Head(ctx)
		if err != nil {
			return err
		}
		revision = head.Revision
	}
	if revision == 0 {
		return errs.Errorf("nothing was ever applied")
	}
	d, err := t.configs.Get(ctx, revision)
	if err != nil {
		return err
	}
	if t.form == OutputJSON {
		t.json(d)
		return nil
	}
	fmt.Fprintf(t.out, "# revision %d by %s at %s\n%s", d.Revision, d.Author, d.At.Format(time.RFC3339), d.Text)
	return nil
}

// Diff prints how a file differs from the newest revision.
func (t *Tool) Diff(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := policy.Parse(file, text); err != nil {
		return err
	}
	base, old, err := t.base(ctx, -1)
	if err != nil {
		return err
	}
	t.printDiff(base, old, file, string(text))
	return nil
}

// historyPage is the number of revisions read at once.
const historyPage = 100

// History prints the accepted revisions after one, oldest first.
func (t *Tool) History(ctx context.Context, after int64) error {
	docs, err := t.configs.History(ctx, after, historyPage)
	if err != nil {
		return err
	}
	if t.form == OutputJSON {
		t.json(docs)
		return nil
	}
	return t.table("REVISION\tAUTHOR\tAT\tBYTES", func(row func(string, ...any)) {
		for _, d := range docs {
			row("%d\t%s\t%s\t%d", d.Revision, d.Author, d.At.Format(time.RFC3339), len(d.Text))
		}
	})
}

// Status prints what every process that can be reached says of itself.
func (t *Tool) Status(ctx context.Context) error {
	all := t.processes(ctx)
	if t.form == OutputJSON {
		statuses := make([]processStatus, 0, len(all))
		for _, p := range all {
			statuses = append(statuses, p.status)
		}
		t.json(statuses)
		return nil
	}
	err := t.table("PROCESS\tKIND\tDOOR\tREVISION\tSERVING\tPEERS\tIN FLIGHT", func(row func(string, ...any)) {
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
	if err := t.targets(all); err != nil {
		return err
	}
	return t.pools(all)
}

// pools prints, for each pool whose lease holder answers, its engines and the work on them.
func (t *Tool) pools(all []process) error {
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
			if err := t.engines(pool.Engines); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Tool) engines(engines []controller.EngineStatus) error {
	return t.table("ENGINE\tDECLARED\tSEEN\tBUSY\tCHANGE\tWHY", func(row func(string, ...any)) {
		for _, e := range engines {
			row("%s\t%v\t%v\t%d\t%s\t%s", e.Name, e.Declared, e.Seen, e.Busy, e.Change, e.Why)
		}
	})
}

// targets prints the targets as the first router that answers sees them.
func (t *Tool) targets(all []process) error {
	for _, p := range all {
		if p.err != nil || p.status.Kind != wire.KindRouter {
			continue
		}
		fmt.Fprintln(t.out)
		return t.table("TARGET\tADDRESS\tPOOLS\tWEIGHTS\tLEAVING\tFAILING\tHORIZON", func(row func(string, ...any)) {
			for _, v := range p.status.Targets {
				row("%s\t%s\t%v\t%v\t%t\t%t\t%s", v.Name, v.Addr, v.Pools, v.Weights, v.Leaving, v.Failing, v.Horizon.Round(time.Millisecond))
			}
		})
	}
	return nil
}

// Timeline prints the events of all processes that can be reached in causal
// order; extra names the doors of targets that keep events too.
func (t *Tool) Timeline(ctx context.Context, f event.Filter, extra []netip.AddrPort) error {
	events, missed := t.events(ctx, f, extra)
	if t.form == OutputJSON {
		t.json(events)
		return nil
	}
	for _, err := range missed {
		fmt.Fprintln(os.Stderr, "warning: a process is missing from the time line:", err)
	}
	return t.table("TIME\tPROCESS\tEVENT\tREQUEST\tATTEMPT\tTARGET\tDETAIL", func(row func(string, ...any)) {
		for _, e := range events {
			row("%s\t%s\t%d %s\t%s\t%s\t%s\t%s", e.Stamp.Time.Format("15:04:05.000000"), e.Process, e.Code, e.Name, e.Request, e.Attempt, e.Target, e.Detail)
		}
	})
}

// events gathers the events that pass the filter from every process.
func (t *Tool) events(ctx context.Context, f event.Filter, extra []netip.AddrPort) (merged []event.Event, missed []error) {
	doors := extra
	for _, p := range t.processes(ctx) {
		if p.err != nil {
			missed = append(missed, p.err)
			continue
		}
		doors = append(doors, p.door)
	}
	var lists [][]event.Event
	for _, door := range doors {
		var list []event.Event
		if err := t.ask(ctx, door, "/v1/events?"+f.Query().Encode(), &list); err != nil {
			missed = append(missed, err)
			continue
		}
		lists = append(lists, list)
	}
	return event.Merge(lists...), missed
}

// Explain prints why a request went where it did: its placements and ends.
func (t *Tool) Explain(ctx context.Context, request string) error {
	events, _ := t.events(ctx, event.Filter{Request: request}, nil)
	if len(events) == 0 {
		return errs.Errorf("no process that can be reached remembers request %s", request)
	}
	if t.form == OutputJSON {
		t.json(events)
		return nil
	}
	for _, e := range events {
		fmt.Fprintf(t.out, "%s  %-18s %s %s\n", e.Stamp.Time.Format("15:04:05.000"), e.Name, e.Target, e.Detail)
	}
	return nil
}

func (t *Tool) json(v any) {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// table prints rows under a heading in aligned columns.
func (t *Tool) table(heading string, fill func(row func(format string, args ...any))) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	fill(func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) })
	return errs.Wrap(w.Flush())
}

// Check reads a file and returns all its faults.
func (t *Tool) Check(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := policy.Parse(file, text); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s is valid\n", file)
	return nil
}
