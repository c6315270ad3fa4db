package dispatch

import (
	"net/http"
	"time"

	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/route"
)

// The paths at a process's operators' door of requests under which targets ended.
const (
	PathHeld    = "/v1/held"
	PathRelease = "/v1/release"
)

// HandleHeld registers what operators see of requests under which targets ended, and may do about
// them: GET /v1/held answers them as JSON ([route.HeldRequest]), those that are held back first, and
// POST /v1/release?fingerprint=F has the whole fleet hold one back no more. It answers 404
// where the process knows of none with that fingerprint, and 400 where that is none.
func (d *Driver) HandleHeld(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathHeld, func(w http.ResponseWriter, _ *http.Request) {
		d.Lock()
		held := d.Board().HeldRequests(d.now())
		d.Unlock()
		door.WriteJSON(w, http.StatusOK, held)
	})
	mux.HandleFunc("POST "+PathRelease, func(w http.ResponseWriter, r *http.Request) {
		var f route.Fingerprint
		if err := f.UnmarshalText([]byte(r.URL.Query().Get("fingerprint"))); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.Lock()
		known := d.Board().Release(d.now(), f)
		d.Unlock()
		if !known {
			http.Error(w, "no target is known to have ended under it", http.StatusNotFound)
			return
		}
		door.WriteJSON(w, http.StatusOK, struct{}{})
	})
}

// CrashesSince returns what the board knows of targets that ended under requests, beyond a version of it.
func (d *Driver) CrashesSince(after int64) (words []route.CrashUpdate, version int64) {
	d.Lock()
	defer d.Unlock()
	return d.Board().CrashesSince(d.now(), after)
}

// TakeCrashes takes what another process knows of them.
func (d *Driver) TakeCrashes(words []route.CrashUpdate) {
	d.Do(func(b *route.Board, now time.Time) []route.Action { return b.TakeCrashes(now, words) })
}

// Held returns how many requests are held back.
func (d *Driver) Held() (n int) {
	d.Lock()
	defer d.Unlock()
	for _, h := range d.Board().HeldRequests(d.now()) {
		if h.Held {
			n++
		}
	}
	return n
}
