package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/wire"
)

// ServiceConfig configures a fake plain service.
type ServiceConfig struct {
	Name  string
	Delay time.Duration
	Seed  uint64
}

// Service is a fake plain service, such as check-in. It logs every call, which stands for
// the call's effect.
type Service struct {
	cfg         ServiceConfig
	incarnation string
	faults      *faultState
	runs        runLog
	events      *event.Recorder

	mu       sync.Mutex
	draining bool
}

// NewService returns a service with an empty log and a new incarnation id.
func NewService(cfg ServiceConfig, rec *event.Recorder) *Service {
	return &Service{
		cfg:         cfg,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		faults:      newFaultState(cfg.Seed),
		events:      rec,
	}
}

// Handler serves calls on any path, the state and the test controls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", s.faults.handle)
	mux.HandleFunc("GET /standin/runs", s.runs.handle)
	mux.HandleFunc("POST /standin/leave", func(w http.ResponseWriter, _ *http.Request) {
		s.Drain()
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /v1/events", eventsHandler(s.events))
	mux.Handle("GET /engine/state", s.faults.wrap(http.HandlerFunc(s.handleState)))
	mux.Handle("/", s.faults.wrap(http.HandlerFunc(s.handleCall)))
	return mux
}

// Drain makes the service announce that it drains.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Service) handleState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, engineState{Incarnation: s.incarnation, Draining: s.draining, Slots: 64})
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.faults.get()
	if f.RefuseAll {
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		writeRefusal(w, http.StatusServiceUnavailable, "refused by an injected fault")
		return
	}
	attempt := r.Header.Get(wire.HeaderAttempt)
	update := s.runs.start(Run{
		Request: r.Header.Get(wire.HeaderRequest), Attempt: attempt,
		Key: r.Header.Get(wire.HeaderKey), Path: r.Method + " " + r.URL.Path, Incarnation: s.incarnation,
	})
	time.Sleep(s.cfg.Delay)
	update(func(r *Run) {
		r.State = runDone
		r.End = time.Now().UTC()
	})
	s.events.Record(event.Event{
		Code: event.EngineRan, Request: r.Header.Get(wire.HeaderRequest),
		Attempt: attempt, Target: s.cfg.Name, Detail: r.Method + " " + r.URL.Path,
	})
	if f.BreakAt > 0 && s.faults.takeStreamBreak(f.BreakAt) {
		panic(http.ErrAbortHandler)
	}
	if f.FailAfterRun {
		http.Error(w, "failed after the request ran", http.StatusInternalServerError)
		return
	}
	if f.CrossReplies {
		attempt = "crossed-" + attempt
	}
	w.Header().Set(wire.HeaderAttempt, attempt)
	w.Header().Set(wire.HeaderIncarnation, s.incarnation)
	writeJSON(w, http.StatusOK, map[string]any{
		"service": s.cfg.Name,
		"call":    r.Method + " " + r.URL.Path,
		"receipt": fmt.Sprintf("%d bytes", len(body)),
	})
}

// KVStore is a fake store of exported KV cache. It holds at most limit exports and drops
// the oldest above that.
type KVStore struct {
	faults *faultState

	mu      sync.Mutex
	limit   int
	exports map[string][]byte
	order   []string
}

// NewKVStore returns an empty store for at most limit exports.
func NewKVStore(limit int, seed uint64) *KVStore {
	return &KVStore{limit: limit, faults: newFaultState(seed), exports: make(map[string][]byte)}
}

// Handler serves PUT and GET /kv/{key}, the state and the faults.
func (k *KVStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", k.faults.handle)
	mux.Handle("GET /engine/state", k.faults.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, engineState{Incarnation: "kept", Slots: 64})
	})))
	mux.Handle("PUT /kv/{key}", k.faults.wrap(http.HandlerFunc(k.put)))
	mux.Handle("GET /kv/{key}", k.faults.wrap(http.HandlerFunc(k.get)))
	return mux
}

func (k *KVStore) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.PathValue("key")
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.exports[key]; !ok {
		k.order = append(k.order, key)
	}
	k.exports[key] = data
	if len(k.order) > k.limit {
		delete(k.exports, k.order[0])
		k.order = k.order[1:]
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (k *KVStore) get(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	data, ok := k.exports[r.PathValue("key")]
	k.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}
