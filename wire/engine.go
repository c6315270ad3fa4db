package wire

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// The headers between pathhead and targets. A request states the incarnation and
// weights that it expects, an answer the actual ones.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "X-Attempt-Id"
	HeaderKey         = "Idempotency-Key"
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderWeights     = "X-Engine-Weights"
	HeaderRan         = "X-Engine-Ran"
)

// RanNo is the value of HeaderRan if a target refused a request without running it.
const RanNo = "no"

// Resume asks an engine to continue an answer after the part that another attempt delivered.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Order is a conditional instruction to an engine: it applies only if the model has
// the weights IfWeights; empty means that it is not loaded.
type Order struct {
	Action      string            `json:"action"`
	Model       string            `json:"model,omitempty"`
	Weights     string            `json:"weights,omitempty"`
	Adapters    []string          `json:"adapters,omitempty"`
	Role        string            `json:"role,omitempty"`
	IfWeights   string            `json:"ifWeights"`
	Incarnation route.Incarnation `json:"incarnation,omitempty"`
	Fence       int64             `json:"fence"`
	Holder      string            `json:"holder,omitempty"`
}

// The actions of an order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// State is a target's report of its state.
type State struct {
	Incarnation route.Incarnation      `json:"incarnation"`
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

// OpStore is the value of Op in the event of a stored block.
const OpStore = "store"

// CacheEvents is a sequence of cache events of one incarnation.
type CacheEvents struct {
	Incarnation route.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent records that an engine stored or evicted a block.
type CacheEvent struct {
	Seq   int64       `json:"seq"`
	Op    string      `json:"op"`
	Block route.Block `json:"block"`
}

// maxState bounds the size of an engine's answer, such as a state report or a page of
// events, in bytes.
const maxState = 4 << 20

// Engines is a client of the targets' own interface: state, cache events, orders and KV cache.
type Engines struct {
	client *http.Client
	// prober has no timeout of its own, since an engine may take seconds to answer just
	// after a change of its models.
	prober *http.Client
}

// engineTimeout bounds a call to a target. Targets answer within a few milliseconds; a call
// that takes longer than the timeout counts as failed.
const engineTimeout = time.Second

// NewEngines returns a client without open connections.
func NewEngines() *Engines {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 2
	return &Engines{client: &http.Client{Transport: t, Timeout: engineTimeout}, prober: &http.Client{Transport: t}}
}

// Report implements router.Engines.
func (e *Engines) Report(ctx context.Context, addr netip.AddrPort) (route.Report, error) {
	s, err := e.state(ctx, addr)
	if err != nil {
		return route.Report{}, err
	}
	r := route.Report{
		Incarnation: s.Incarnation,
		Weights:     s.weights(),
		Adapters:    make(map[string][]string),
		Leaving:     s.Leaving,
		Loading:     s.Loading > 0,
		Running:     s.Running,
		Waiting:     s.Waiting,
		Slots:       s.Slots,
		PrefillRate: s.PrefillRate,
	}
	for name, m := range s.Models {
		if len(m.Adapters) > 0 {
			r.Adapters[name] = m.Adapters
		}
	}
	return r, nil
}

// State implements controller.Engines.
func (e *Engines) State(ctx context.Context, addr netip.AddrPort) (fleet.Engine, error) {
	s, err := e.state(ctx, addr)
	if err != nil {
		return fleet.Engine{Addr: addr}, err
	}
	return fleet.Engine{
		Addr: addr, Incarnation: s.Incarnation, Weights: s.weights(), Loading: s.Loading > 0,
		Leaving: s.Leaving, Reachable: true, Busy: s.Running + s.Waiting,
	}, nil
}

// state reads a target's report.
func (e *Engines) state(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	err := e.call(ctx, http.MethodGet, addr, "/engine/state", nil, &s)
	return s, err
}

// weights returns the weights of each model.
func (s State) weights() map[string]string {
	out := make(map[string]string, len(s.Models))
	for name, m := range s.Models {
		out[name] = m.Weights
	}
	return out
}

// CacheEvents implements router.Engines.
func (e *Engines) CacheEvents(ctx context.Context, addr netip.AddrPort, after int64) (incarnation route.Incarnation, changes []route.CacheChange, err error) {
	var out CacheEvents
	path := "/engine/events?after=" + strconv.FormatInt(after, 10)
	if err := e.call(ctx, http.MethodGet, addr, path, nil, &out); err != nil {
		return "", nil, err
	}
	for _, ev := range out.Events {
		changes = append(changes, route.CacheChange{Seq: ev.Seq, Evicted: ev.Op != OpStore, Block: ev.Block})
	}
	return out.Incarnation, changes, nil
}

// ErrRefused marks errors of calls that a target refused without running them.
var ErrRefused = errs.Tag("refused by target")

// Order implements controller.Engines. After an error that wraps ErrRefused the order
// had no effect; after any other error it may have had one.
func (e *Engines) Order(ctx context.Context, o fleet.Order) error {
	w := o.Change.Want
	out := Order{
		Action: OrderLoad, Model: w.Model, Weights: w.Weights, Adapters: w.Adapters,
		IfWeights: w.From, Incarnation: o.Change.Incarnation, Fence: o.Fence, Holder: o.Holder,
	}
	if w.Weights == "" {
		out.Action = OrderUnload
	}
	return e.call(ctx, http.MethodPost, o.Change.Engine, "/engine/order", out, nil)
}

// probeTokens is the length of a probe's answer: the first token and one after it.
const probeTokens = 2

// Probe implements controller.Engines.
func (e *Engines) Probe(ctx context.Context, addr netip.AddrPort, w fleet.Want) error {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		CacheSalt string `json:"cache_salt"`
	}{w.Model, "Say that you are ready.", probeTokens, "pathhead-probe"})
	if err != nil {
		return errs.Wrap(err)
	}
	url := "http://" + addr.String() + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, "probe-"+rand.Text()[:8])
	req.Header.Set(HeaderWeights, w.Weights)
	resp, err := e.prober.Do(req)
	if err != nil {
		return errs.Errorf("probe: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errs.Errorf("probe: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return errs.Errorf("probe: status %d", resp.StatusCode)
	}
	return nil
}

// kvExport lists cache blocks by their hashes. The stand-in's interface transfers these in
// place of the contents of the blocks.
type kvBlocks struct {
	Blocks []route.Block `json:"blocks"`
}

// Export returns those of the blocks that the engine holds and exports.
func (e *Engines) Export(ctx context.Context, addr netip.AddrPort, blocks []route.Block) ([]route.Block, error) {
	var out kvBlocks
	err := e.call(ctx, http.MethodPost, addr, "/engine/kv/export", kvBlocks{blocks}, &out)
	return out.Blocks, err
}

// Import loads exported blocks into the engine's cache.
func (e *Engines) Import(ctx context.Context, addr netip.AddrPort, blocks []route.Block) error {
	return e.call(ctx, http.MethodPost, addr, "/engine/kv/import", kvBlocks{blocks}, nil)
}

// StoreBlocks stores exported blocks under a key in a KV store.
func (e *Engines) StoreBlocks(ctx context.Context, addr netip.AddrPort, key string, blocks []route.Block) error {
	return e.call(ctx, http.MethodPut, addr, "/kv/"+key, kvBlocks{blocks}, nil)
}

// LoadBlocks reads exported blocks from a KV store; it fails if the store has none under the key.
func (e *Engines) LoadBlocks(ctx context.Context, addr netip.AddrPort, key string) ([]route.Block, error) {
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

// maxExcerpt is the maximum length of a target's error text in an error, in bytes.
const maxExcerpt = 200

func statusError(addr netip.AddrPort, resp *http.Response, data []byte) error {
	err := errs.Errorf("target %s: status %d: %s", addr, resp.StatusCode, data[:min(len(data), maxExcerpt)])
	if resp.Header.Get(HeaderRan) == RanNo {
		return ErrRefused.Wrap(err)
	}
	return err
}
