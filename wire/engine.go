package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// The headers between pathhead and targets. A request names what it expects of
// incarnation and weights; an answer says what they are.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "X-Attempt-Id"
	HeaderKey         = "Idempotency-Key"
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderWeights     = "X-Engine-Weights"
	HeaderRan         = "X-Engine-Ran"
)

// RanNo is the value of HeaderRan on a refusal before running.
const RanNo = "no"

// Resume asks an engine to go on after what another attempt delivered.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Order is a conditional instruction to an engine: it applies only while the
// model has the weights IfWeights, where empty means that it is not loaded.
type Order struct {
	Action      string   `json:"action"`
	Model       string   `json:"model,omitempty"`
	Weights     string   `json:"weights,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	Role        string   `json:"role,omitempty"`
	IfWeights   string   `json:"ifWeights"`
	Incarnation string   `json:"incarnation,omitempty"`
	Fence       int64    `json:"fence"`
	Holder      string   `json:"holder,omitempty"`
}

// The actions of an order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// State is what a target says about itself.
type State struct {
	Incarnation string                 `json:"incarnation"`
	Models      map[string]LoadedModel `json:"models"`
	Role        string                 `json:"role"`
	Leaving     bool                   `json:"leaving"`
	Loading     int                    `json:"loading"`
	Running     int                    `json:"running"`
	Waiting     int                    `json:"waiting"`
	Blocks      int                    `json:"blocks"`
	CacheBlocks int                    `json:"cacheBlocks"`
	Slots       int                    `json:"slots"`
	PrefillRate float64                `json:"prefillRate"`
	Fence       int64                  `json:"fence"`
}

// LoadedModel is a model that an engine serves.
type LoadedModel struct {
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters"`
}

// CacheEvents is a run of cache events of one incarnation.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent says that an engine stored or evicted a block.
type CacheEvent struct {
	Seq   int64       `json:"seq"`
	Op    string      `json:"op"`
	Block route.Block `json:"block"`
}

// maxState bounds a state report or an event page in bytes.
const maxState = 4 << 20

// Engines calls the targets' own interface: state, cache events, orders and KV cache.
type Engines struct {
	client *http.Client
}

// NewEngines returns a caller whose calls each end within timeout.
func NewEngines(timeout time.Duration) *Engines {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 2
	return &Engines{client: &http.Client{Transport: t, Timeout: timeout}}
}

// State reads a target's report.
func (e *Engines) State(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	err := e.call(ctx, http.MethodGet, addr, "/engine/state", nil, &s)
	return s, err
}

// Events reads the cache events after a sequence number.
func (e *Engines) Events(ctx context.Context, addr netip.AddrPort, after int64) (CacheEvents, error) {
	var out CacheEvents
	path := "/engine/events?after=" + strconv.FormatInt(after, 10)
	err := e.call(ctx, http.MethodGet, addr, path, nil, &out)
	return out, err
}

// ErrRefused says that a target answered that it did not do what it was asked.
var ErrRefused = errs.Tag("refused by target")

// Order sends an order; an error wrapping ErrRefused means that it had no effect, any other that it may have.
func (e *Engines) Order(ctx context.Context, addr netip.AddrPort, o Order) error {
	return e.call(ctx, http.MethodPost, addr, "/engine/order", o, nil)
}

// kvBlocks names cache blocks; behind the stand-in's interface they stand for their contents.
type kvBlocks struct {
	Blocks []route.Block `json:"blocks"`
}

// Export returns which of the blocks the engine holds and hands out.
func (e *Engines) Export(ctx context.Context, addr netip.AddrPort, blocks []route.Block) ([]route.Block, error) {
	var out kvBlocks
	err := e.call(ctx, http.MethodPost, addr, "/engine/kv/export", kvBlocks{blocks}, &out)
	return out.Blocks, err
}

// Import fills the engine's cache with kept blocks.
func (e *Engines) Import(ctx context.Context, addr netip.AddrPort, blocks []route.Block) error {
	return e.call(ctx, http.MethodPost, addr, "/engine/kv/import", kvBlocks{blocks}, nil)
}

// Keep stores an export under a key in a kept KV store.
func (e *Engines) Keep(ctx context.Context, addr netip.AddrPort, key string, blocks []route.Block) error {
	return e.call(ctx, http.MethodPut, addr, "/kv/"+key, kvBlocks{blocks}, nil)
}

// Kept reads an export back; it fails where the store has none.
func (e *Engines) Kept(ctx context.Context, addr netip.AddrPort, key string) ([]route.Block, error) {
	var out kvBlocks
	err := e.call(ctx, http.MethodGet, addr, "/kv/"+key, nil, &out)
	return out.Blocks, err
}

func (e *Engines) call(ctx context.Context, method string, addr netip.AddrPort, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errs.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, body)
	if err != nil {
		return errs.Wrap(err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errs.Errorf("target %s: %w", addr, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	if err != nil {
		return errs.Errorf("target %s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(addr, resp, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errs.Errorf("target %s: %w", addr, err)
	}
	return nil
}

// maxExcerpt bounds how much of a target's error text is passed on, in bytes.
const maxExcerpt = 200

func statusError(addr netip.AddrPort, resp *http.Response, data []byte) error {
	err := errs.Errorf("target %s: status %d: %s", addr, resp.StatusCode, data[:min(len(data), maxExcerpt)])
	if resp.Header.Get(HeaderRan) == RanNo {
		return ErrRefused.Wrap(err)
	}
	return err
}
