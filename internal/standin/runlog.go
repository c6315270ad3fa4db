package standin

import (
	"net/http"
	"sync"
	"time"
)

// Run is a fake's record of one request that it started to run.
type Run struct {
	Request     string    `json:"request"`
	Attempt     string    `json:"attempt"`
	Key         string    `json:"key,omitempty"`
	Path        string    `json:"path"`
	Salt        string    `json:"salt,omitempty"`
	Incarnation string    `json:"incarnation"`
	Weights     string    `json:"weights,omitempty"`
	Prompt      int       `json:"prompt"`
	Cached      int       `json:"cached"`
	UsedFrom    []string  `json:"usedFrom,omitempty"`
	ResumedAt   int       `json:"resumedAt,omitempty"`
	Emitted     int       `json:"emitted"`
	State       string    `json:"state"`
	Begin       time.Time `json:"begin"`
	End         time.Time `json:"end"`
}

// The states of a run.
const (
	runRunning   = "running"
	runDone      = "done"
	runCancelled = "cancelled"
)

// runLog records every run. Tests use it as their oracle, so it has no bound and drops
// nothing.
type runLog struct {
	mu   sync.Mutex
	runs []*Run
}

// start records a run and returns a function that updates the record.
func (l *runLog) start(r Run) func(func(*Run)) {
	r.State = runRunning
	r.Begin = time.Now().UTC()
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &r
	l.runs = append(l.runs, run)
	return func(change func(*Run)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		change(run)
	}
}

func (l *runLog) snapshot() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		out = append(out, *r)
	}
	return out
}

func (l *runLog) handle(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.snapshot())
}
