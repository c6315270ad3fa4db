package ctl

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/router"
)

// Output is an output format.
type Output string

// The output formats: tables for people, JSON for scripts.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Tool runs the commands of pathheadctl.
type Tool struct {
	configs fleet.Configs
	doors   []netip.AddrPort
	vms     router.List
	client  *http.Client
	scheme  string
	out     io.Writer
	output  Output
}

// Option configures a [Tool].
type Option func(*Tool)

// WithStores sets the table and the object store that hold the configurations.
func WithStores(t fleet.Table, o fleet.Objects) Option {
	return func(c *Tool) { c.configs = fleet.Configs{Table: t, Objects: o} }
}

// WithDoors sets the operators' addresses of the processes that are queried
// first. Further processes are discovered from their answers.
func WithDoors(doors ...netip.AddrPort) Option {
	return func(c *Tool) { c.doors = doors }
}

// WithVMs sets the VM list against which selectors are checked.
func WithVMs(l router.List) Option {
	return func(c *Tool) { c.vms = l }
}

// WithTLS makes the tool query processes over TLS with the given configuration.
func WithTLS(cfg *tls.Config) Option {
	return func(c *Tool) {
		c.scheme = "https"
		c.client.Transport = &http.Transport{TLSClientConfig: cfg}
	}
}

// doorTimeout is the maximum duration of one request to a process.
const doorTimeout = 3 * time.Second

// New returns a tool that prints its results to out.
func New(out io.Writer, output Output, opts ...Option) *Tool {
	t := &Tool{out: out, output: output, scheme: "http", client: &http.Client{Timeout: doorTimeout}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// maxAnswer is the maximum size of a process's response, in bytes.
const maxAnswer = 64 << 20

// getJSON requests a path from a process and decodes the JSON response.
func (t *Tool) getJSON(ctx context.Context, door netip.AddrPort, path string, into any) error {
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

func (t *Tool) printJSON(v any) {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// printTable prints a heading and rows in aligned columns; fill calls row for
// each of them.
func (t *Tool) printTable(heading string, fill func(row func(format string, args ...any))) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	fill(func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) })
	return errs.Wrap(w.Flush())
}
