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
	// Crash is called when a prompt with the text CrashOn begins to run; without a text none does.
	CrashOn       string
	Crash         func()
	ChecksFencing bool
	Seed          uint64
}

// loaded is a model that an engine serves.
type loaded struct {
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
}

// Engine is a fake model engine.
type Engine struct {
	cfg         EngineConfig
	incarnation string
	faults      *faultBox
	batch       *batch
	cache       *blockCache
	runs        runLog
	events      *event.Recorder

	mu      sync.Mutex
	models  map[string]loaded
	loading int
	role    string
	leaving bool
	fence   int64
	orders  []orderRecord
	reports []report
	log     []loggedEvent
	seq     int64
}

// loggedEvent is a cache event and when it may be published.
type loggedEvent struct {
	cacheEvent
	at time.Time
}

// NewEngine returns an engine with an empty cache and a new incarnation.
func NewEngine(cfg EngineConfig, rec *event.Recorder) *Engine {
	e := &Engine{
		cfg:         cfg,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		faults:      newFaultBox(cfg.Seed),
		batch:       newBatch(cfg.Slots),
		events:      rec,
		models:      map[string]loaded{},
		role:        "serve",
	}
	if cfg.Model != "" {
		e.models[cfg.Model] = loaded{Weights: cfg.Weights}
	}
	e.faults.now.EventLoss = cfg.EventLoss
	e.cache = newBlockCache(cfg.CacheBlocks, e.emit)
	return e
}

// maxLoggedEvents bounds the events kept for late readers; older ones are a gap to them.
const maxLoggedEvents = 8192

// emit numbers a cache event and, unless it is lost, keeps it for publication.
func (e *Engine) emit(op string, b route.Block) {
	lost := e.faults.chance(e.faults.get().EventLoss)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	if lost {
		return
	}
	e.log = append(e.log, loggedEvent{cacheEvent{e.seq, op, b}, time.Now().Add(e.cfg.EventLag)})
	if len(e.log) > 2*maxLoggedEvents {
		e.log = append(e.log[:0:0], e.log[len(e.log)-maxLoggedEvents:]...)
	}
}

// Handler serves the OpenAI API, the engine's own calls and the test controls.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", e.faults.handle)
	mux.HandleFunc("GET /standin/runs", e.runs.handle)
	mux.HandleFunc("GET /standin/orders", e.handleOrders)
	mux.HandleFunc("POST /standin/leave", e.handleLeave)
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

// report is what an engine says of its load.
type report struct {
	at          time.Time
	Incarnation string            `json:"incarnation"`
	Models      map[string]loaded `json:"models"`
	Role        string            `json:"role"`
	Leaving     bool              `json:"leaving"`
	Loading     int               `json:"loading"`
	Running     int               `json:"running"`
	Waiting     int               `json:"waiting"`
	Blocks      int               `json:"blocks"`
	CacheBlocks int               `json:"cacheBlocks"`
	Slots       int               `json:"slots"`
	PrefillRate float64           `json:"prefillRate"`
	Fence       int64             `json:"fence"`
}

// handleState answers with the newest report at least ReportLag old; what the
// engine is, and whether it leaves, is never late.
func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.load()
	size := e.cache.size()
	e.mu.Lock()
	now := report{
		at:          time.Now(),
		Incarnation: e.incarnation,
		Models:      make(map[string]loaded, len(e.models)),
		Role:        e.role,
		Leaving:     e.leaving,
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
	e.reports = append(e.reports, now)
	shown := e.reports[0]
	for len(e.reports) > 1 && time.Since(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
		shown = e.reports[0]
	}
	e.mu.Unlock()
	now.Running, now.Waiting, now.Blocks = shown.Running, shown.Waiting, shown.Blocks
	writeJSON(w, http.StatusOK, now)
}

// handleEvents answers with the published events after a sequence number.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	out := struct {
		Incarnation string       `json:"incarnation"`
		Events      []cacheEvent `json:"events"`
	}{Incarnation: e.incarnation, Events: []cacheEvent{}}
	now := time.Now()
	e.mu.Lock()
	for _, ev := range e.log {
		if ev.Seq > after && !ev.at.After(now) {
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

// handleLeave makes the engine say that it leaves and refuse new requests.
func (e *Engine) handleLeave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	writeJSON(w, http.StatusOK, struct{}{})
}

// Leave begins a planned stop: requests that run go on, new ones are refused.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Drained waits until nothing runs or the context ends.
func (e *Engine) Drained(ctx context.Context) {
	for {
		running, waiting := e.batch.load()
		if running+waiting == 0 || !sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

// eventsHandler serves a fake's recorded events, so that the time line reaches the targets too.
func eventsHandler(rec *event.Recorder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, rec.Events(event.Filter{Request: r.URL.Query().Get("request")}))
	}
}
