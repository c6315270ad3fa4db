package standin

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
)

// EngineConfig describes a fake engine.
type EngineConfig struct {
	Name         string
	Model        string
	Weights      string
	CacheBlocks  int
	Slots        int
	PrefillRate  float64 // tokens per second
	DecodeTime   time.Duration
	LoadTime     time.Duration
	ReportLag    time.Duration
	EventLag     time.Duration
	EventLoss    float64
	ChecksExpect bool
	// Crash is called when a prompt that contains CrashOn starts to run; an empty CrashOn matches none.
	CrashOn       string
	Crash         func()
	ChecksFencing bool
	Seed          uint64
}

// loadedModel describes a model that an engine serves.
type loadedModel struct {
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
}

// Engine is a fake model engine.
type Engine struct {
	cfg         EngineConfig
	incarnation string
	faults      *faultState
	batch       *batch
	cache       *blockCache
	runs        runLog
	events      *event.Recorder

	mu          sync.Mutex
	models      map[string]loadedModel
	loading     int
	role        string
	draining    bool
	fence       int64
	orders      []orderRecord
	states      []engineState
	cacheEvents []loggedEvent
	seq         int64
}

// loggedEvent is a cache event and the time from which it is published.
type loggedEvent struct {
	cacheEvent
	visibleAt time.Time
}

// NewEngine returns an engine with an empty cache and a new incarnation id.
func NewEngine(cfg EngineConfig, rec *event.Recorder) *Engine {
	e := &Engine{
		cfg:         cfg,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		faults:      newFaultState(cfg.Seed),
		batch:       newBatch(cfg.Slots),
		events:      rec,
		models:      map[string]loadedModel{},
		role:        "serve",
	}
	if cfg.Model != "" {
		e.models[cfg.Model] = loadedModel{Weights: cfg.Weights}
	}
	e.faults.current.EventLoss = cfg.EventLoss
	e.cache = newBlockCache(cfg.CacheBlocks, e.emit)
	return e
}

// maxLoggedEvents bounds the cache events kept for slow readers. To these, dropped older
// events are a gap in the sequence numbers.
const maxLoggedEvents = 8192

// emit numbers a cache event and logs it for publication, unless an injected fault drops it.
func (e *Engine) emit(op string, b route.Block) {
	lost := e.faults.draw(e.faults.get().EventLoss)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	if lost {
		return
	}
	e.cacheEvents = append(e.cacheEvents, loggedEvent{cacheEvent{e.seq, op, b}, time.Now().Add(e.cfg.EventLag)})
	if len(e.cacheEvents) > 2*maxLoggedEvents {
		e.cacheEvents = append(e.cacheEvents[:0:0], e.cacheEvents[len(e.cacheEvents)-maxLoggedEvents:]...)
	}
}

// Handler serves the OpenAI API, the engine API and the test controls.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", e.faults.handle)
	mux.HandleFunc("GET /standin/runs", e.runs.handle)
	mux.HandleFunc("GET /standin/orders", e.handleOrders)
	mux.HandleFunc("POST /standin/leave", e.handleDrain)
	mux.HandleFunc("GET /v1/events", eventsHandler(e.events))
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	api.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	api.HandleFunc("GET /engine/state", e.handleState)
	api.HandleFunc("GET /engine/events", e.handleEvents)
	api.HandleFunc("POST /engine/order", e.handleOrder)
	api.HandleFunc("POST /engine/kv/export", e.handleExport)
	api.HandleFunc("POST /engine/kv/import", e.handleImport)
	mux.Handle("/", e.faults.wrap(api))
	return mux
}

// engineState is the answer of /engine/state.
type engineState struct {
	takenAt     time.Time
	Incarnation string                 `json:"incarnation"`
	Models      map[string]loadedModel `json:"models"`
	Role        string                 `json:"role"`
	Draining    bool                   `json:"leaving"`
	Loading     int                    `json:"loading"`
	Running     int                    `json:"running"`
	Waiting     int                    `json:"waiting"`
	Blocks      int                    `json:"blocks"`
	CacheBlocks int                    `json:"cacheBlocks"`
	Slots       int                    `json:"slots"`
	PrefillRate float64                `json:"prefillRate"`
	Fence       int64                  `json:"fence"`
}

// handleState answers with the engine's state. The load (running, waiting, blocks) is the
// newest recorded at least ReportLag ago; the identity, the models and whether the
// engine drains are always current.
func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.load()
	size := e.cache.size()
	e.mu.Lock()
	now := engineState{
		takenAt:     time.Now(),
		Incarnation: e.incarnation,
		Models:      make(map[string]loadedModel, len(e.models)),
		Role:        e.role,
		Draining:    e.draining,
		Loading:     e.loading,
		Running:     running,
		Waiting:     waiting,
		Blocks:      size,
		CacheBlocks: e.cfg.CacheBlocks,
		Slots:       e.cfg.Slots,
		PrefillRate: e.cfg.PrefillRate,
		Fence:       e.fence,
	}
	for m, l := range e.models {
		now.Models[m] = l
	}
	e.states = append(e.states, now)
	shown := e.states[0]
	for len(e.states) > 1 && time.Since(e.states[1].takenAt) >= e.cfg.ReportLag {
		e.states = e.states[1:]
		shown = e.states[0]
	}
	e.mu.Unlock()
	now.Running, now.Waiting, now.Blocks = shown.Running, shown.Waiting, shown.Blocks
	writeJSON(w, http.StatusOK, now)
}

// handleEvents answers with the published cache events after a sequence number.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	out := struct {
		Incarnation string       `json:"incarnation"`
		Events      []cacheEvent `json:"events"`
	}{Incarnation: e.incarnation, Events: []cacheEvent{}}
	now := time.Now()
	e.mu.Lock()
	for _, ev := range e.cacheEvents {
		if ev.Seq > after && !ev.visibleAt.After(now) {
			out.Events = append(out.Events, ev.cacheEvent)
		}
	}
	e.mu.Unlock()
	if e.faults.get().Forge {
		out.Incarnation = "forged"
		out.Events = append(out.Events, cacheEvent{after + 1, opStore, 1})
	}
	writeJSON(w, http.StatusOK, out)
}

// handleDrain makes the engine announce that it drains and refuse new requests.
func (e *Engine) handleDrain(w http.ResponseWriter, _ *http.Request) {
	e.Drain()
	writeJSON(w, http.StatusOK, struct{}{})
}

// Drain starts a planned stop: running requests continue, new ones are refused.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// WaitIdle waits until no request runs or waits, or the context is done.
func (e *Engine) WaitIdle(ctx context.Context) {
	for {
		running, waiting := e.batch.load()
		if running+waiting == 0 || !sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

// eventsHandler serves a fake's recorded events, so that a request's timeline includes
// what happened at the targets.
func eventsHandler(rec *event.Recorder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, rec.Events(event.Filter{Request: r.URL.Query().Get("request")}))
	}
}
