package router

import (
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/route"
)

// Status is a router's answer to the operators' status request.
type Status struct {
	Name     string             `json:"name"`
	Kind     string             `json:"kind"`
	Revision int64              `json:"revision"`
	Serving  bool               `json:"serving"`
	Draining bool               `json:"draining"`
	Peers    []peer.Status      `json:"peers"`
	Targets  []route.TargetView `json:"targets"`
	Queued   map[string]int     `json:"queued"`
	InFlight int                `json:"inFlight"`
}

// operatorsHandler serves operators, on a listener separate from the callers'.
func (r *Router) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		r.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { door.WriteJSON(w, http.StatusOK, r.status()) })
	mux.HandleFunc("GET /v1/events", r.handleEvents)
	mux.HandleFunc("POST /v1/leave", r.handleLeave)
	r.HandleHeld(mux)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (r *Router) status() Status {
	peers := r.gossip.Status()
	r.Lock()
	defer r.Unlock()
	return Status{
		Name:     r.id,
		Kind:     peer.KindRouter,
		Revision: r.adoption.Revision(),
		Serving:  r.applyServing(),
		Draining: r.draining.Load(),
		Peers:    peers,
		Targets:  r.Board().View(time.Now()),
		Queued:   r.Board().Queued(),
		InFlight: r.Board().Requests(),
	}
}

// handleEvents responds with the buffered events that match the query's filter.
func (r *Router) handleEvents(w http.ResponseWriter, req *http.Request) {
	f, err := event.ParseFilter(req.URL.Query())
	if err != nil {
		r.protocol.Fault(w, http.StatusBadRequest, "invalid_filter", err.Error())
		return
	}
	out := r.events.Events(f)
	if out == nil {
		out = []event.Event{}
	}
	door.WriteJSON(w, http.StatusOK, out)
}

// handleLeave marks a target as draining on an operator's request.
func (r *Router) handleLeave(w http.ResponseWriter, req *http.Request) {
	addr, err := netip.ParseAddrPort(req.URL.Query().Get("target"))
	if err != nil {
		r.protocol.Fault(w, http.StatusBadRequest, "invalid_target", err.Error())
		return
	}
	r.Do(func(b *route.Board, now time.Time) []route.Action {
		for _, t := range b.View(now) {
			if t.Addr == addr {
				b.MarkDraining(route.TargetKey{Target: addr, Incarnation: t.Incarnation})
			}
		}
		return nil
	})
	door.WriteJSON(w, http.StatusOK, struct{}{})
}
