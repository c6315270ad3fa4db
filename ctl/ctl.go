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
	vms     router.List
	client  *http.Client
	scheme  string
	out     io.Writer
	output  Output
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
func WithVMs(l router.List) Option {
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
func New(out io.Writer, output Output, opts ...Option) *Tool {
	t := &Tool{out: out, output: output, scheme: "http", client: &http.Client{Timeout: doorTimeout}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// maxAnswer bounds a door's answer in bytes.
const maxAnswer = 64 << 20

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

// printTable prints rows under a heading in aligned columns.
func (t *Tool) printTable(heading string, fill func(row func(format string, args ...any))) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	fill(func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) })
	return errs.Wrap(w.Flush())
}
