package dispatch

import (
	"net/http"
	"time"

	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/route"
)

// Paths of the operators' endpoint for requests during which targets crashed.
const (
	PathHeld    = "/v1/held"
	PathRelease = "/v1/release"
)

// HandleHeld registers the operators' handlers for requests during which targets crashed. GET
// /v1/held returns them as a JSON array of [route.HeldRequest], the held ones first. POST
// /v1/release?fingerprint=F releases a held request in the whole fleet. It returns 404 if the
// process knows no request with that fingerprint, and 400 if F is not a fingerprint.
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
			http.Error(w, "no crash is recorded for this fingerprint", http.StatusNotFound)
			return
		}
		door.WriteJSON(w, http.StatusOK, struct{}{})
	})
}

// CrashesSince returns the board's crash records that are newer than a version, with the current
// version.
func (d *Driver) CrashesSince(after int64) (updates []route.CrashUpdate, version int64) {
	d.Lock()
	defer d.Unlock()
	return d.Board().CrashesSince(d.now(), after)
}

// TakeCrashes merges crash records received from another process.
func (d *Driver) TakeCrashes(updates []route.CrashUpdate) {
	d.Do(func(b *route.Board, now time.Time) []route.Action { return b.TakeCrashes(now, updates) })
}

// Held returns the numbers of held requests and of held parts of prompts.
func (d *Driver) Held() (requests, parts int) {
	d.Lock()
	defer d.Unlock()
	for _, h := range d.Board().HeldRequests(d.now()) {
		switch {
		case h.Held && h.Part:
			parts++
		case h.Held:
			requests++
		}
	}
	return requests, parts
}
