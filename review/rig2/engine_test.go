package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// loadTime is how long an engine loads new weights (the sheet: 0.76 s).
const loadTime = 760 * time.Millisecond

// engine is a stand-in for a replica of a model. In contrast to that of platformtest, what a run has read stays in its
// memory when the weights change under it (method keep), and is kept there after its end, as that of any run.
type engine struct {
	rig     *rig
	id      string
	service string
	model   string
	addr    netip.AddrPort
	server  *http.Server
	stopped chan struct{}

	mu      sync.Mutex
	version int64
	busy    bool
	orders  int64
	beats   int64
	// kept are the parts that the engine keeps, by salt and id, with the version that made each.
	kept map[keptKey]int64
	// events are the changes of kept, and changed is closed at the next one.
	events  []any
	changed chan struct{}
	stale   []staleRun
}

type keptKey struct{ salt, id string }

// staleRun is a run that used a kept part of another version than that which it began on.
type staleRun struct {
	id, part    string
	made, began int64
	at          time.Time
}

// startEngine starts an engine on a free loopback port.
func (r *rig) startEngine(id, service, model string) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		rig: r, id: id, service: service, model: model, addr: l.Addr().(*net.TCPAddr).AddrPort(), version: 1,
		kept: make(map[keptKey]int64), changed: make(chan struct{}), stopped: make(chan struct{}),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	if err := e.beat(); err != nil {
		return nil, err
	}
	go e.beatLoop()
	r.note("engine %s of %s at %s", id, service, e.addr)
	return e, nil
}

func (e *engine) close() {
	close(e.stopped)
	_ = e.server.Close()
}

func (e *engine) beatLoop() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-e.stopped:
			return
		case <-tick.C:
			if e.beat() != nil {
				return
			}
		}
	}
}

type modelState struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// beat writes the engine's entry in the list of replicas.
func (e *engine) beat() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	return e.rig.store.Put("servers", e.id, struct {
		Service string       `json:"backend"`
		Address string       `json:"address"`
		Zone    string       `json:"zone"`
		Release string       `json:"version"`
		Slots   int          `json:"slots"`
		State   string       `json:"state"`
		ColdMS  float64      `json:"coldLeftMs"`
		Beats   int64        `json:"seq"`
		Models  []modelState `json:"models"`
	}{e.service, e.addr.String(), "hall-a", "v1", 64, "ready", 0, e.beats, e.models()})
}

// models returns the engine's models. The caller holds the lock.
func (e *engine) models() []modelState { return []modelState{{e.model, e.version, []string{}}} }

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /-/report":
		e.report(w)
	case "POST /-/order":
		e.order(w, r)
	case "GET /-/kv-events":
		e.changes(w, r)
	case "GET /healthz":
		w.Header().Set("X-Instance-Id", e.id)
	default:
		e.run(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, struct {
		Stage  string       `json:"stage"`
		Models []modelState `json:"models"`
		Busy   bool         `json:"utilization"`
		Orders int64        `json:"seq"`
	}{"both", e.models(), e.busy, e.orders})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(v)
}

// order takes an order to load weights.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Method   string `json:"method"`
		Holder   string `json:"holder"`
		Fence    *int64 `json:"fence"`
		Expected *int64 `json:"expectedRev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "version" || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch want := r.Header.Get("X-Expect-Instance"); {
	case want != "" && want != e.id:
		status = http.StatusMisdirectedRequest
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		status = http.StatusConflict
	case o.Version == e.version:
		status = http.StatusOK
	default:
		e.busy = true
		e.orders++
		time.AfterFunc(loadTime, func() { e.load(o.Version) })
	}
	e.rig.note("order to %s: %s version %d, method %s, holder %s, fence %d: %d", e.id, o.Model, o.Version, o.Method, o.Holder, *o.Fence, status)
	w.WriteHeader(status)
}

// load ends the loading of weights, which drops what the engine kept. Runs go on.
func (e *engine) load(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := range e.kept {
		e.event("-", k)
	}
	clear(e.kept)
	e.version, e.busy = version, false
	e.rig.note("%s has version %d, and has dropped what it kept", e.id, version)
}

// event adds a change of a kept part. The caller holds the lock.
func (e *engine) event(sign string, k keptKey) {
	e.events = append(e.events, []any{len(e.events) + 1, sign, k.salt, k.id, 400, e.model})
	close(e.changed)
	e.changed = make(chan struct{})
}

// changes answers a call for the changes of kept parts.
func (e *engine) changes(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	since = max(since, 1)
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	e.mu.Lock()
	changed, some := e.changed, len(e.events) >= since
	e.mu.Unlock()
	if !some {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []any{}
	if len(e.events) >= since {
		out = e.events[since-1:]
	}
	writeJSON(w, struct {
		Epoch  int64 `json:"bootEpoch"`
		Next   int   `json:"nextToken"`
		Lost   bool  `json:"lostCount"`
		Events []any `json:"events"`
	}{1, len(e.events) + 1, false, out})
}

// Lengths of a stream.
const (
	streamEvents = 30
	eventPause   = 100 * time.Millisecond
)

// run runs a request.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	began, parts, refusal := e.begin(r, id)
	if refusal != 0 {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(refusal)
		return
	}
	// What the run has read stays in its memory and is kept there after its end.
	defer e.keep(parts)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", id+"."+e.id)
	w.Header().Set("Versions", strconv.FormatInt(began, 10))
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// begin begins a run. It returns its version, and the parts of its prompt with the version that made each.
func (e *engine) begin(r *http.Request, id string) (began int64, parts map[keptKey]int64, refusal int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		return 0, nil, http.StatusMisdirectedRequest
	}
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.FormatInt(e.version, 10) {
		return 0, nil, http.StatusMisdirectedRequest
	}
	if e.busy {
		return 0, nil, http.StatusServiceUnavailable
	}
	salt := r.Header.Get("Cache-Salt")
	parts = make(map[keptKey]int64)
	leading, used := true, 0
	for part := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		name, _, _ := strings.Cut(part, ":")
		k := keptKey{salt, name}
		made, ok := e.kept[k]
		if leading = leading && ok; !leading {
			parts[k] = e.version
			e.kept[k] = e.version
			e.event("+", k)
			continue
		}
		used++
		parts[k] = made
		if made != e.version {
			e.stale = append(e.stale, staleRun{id, name, made, e.version, time.Now()})
			e.rig.note("%s: run %s began on version %d and uses part %s, which version %d made", e.id, id, e.version, name, made)
		}
	}
	e.rig.note("%s runs %s for %q on version %d, Expect-Version %q, salt %.8s, %d kept parts", e.id, id, r.Header.Get("X-Tenant-Id"), e.version, r.Header.Get("Expect-Version"), salt, used)
	return e.version, parts, 0
}

// keep keeps the parts of a run that has ended, unless it keeps such parts already.
func (e *engine) keep(parts map[keptKey]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, made := range parts {
		if _, ok := e.kept[k]; !ok {
			e.kept[k] = made
			e.event("+", k)
		}
	}
}

// staleRuns returns the runs that used parts of other versions.
func (e *engine) staleRuns() []staleRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stale
}
