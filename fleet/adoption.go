package fleet

import "time"

// Adoption decides which revision a router serves under and whether it may serve.
//
// A confirmation says that at some moment no newer revision was in force. It is
// good for a bounded time, so that a router that was frozen or cut off does not
// serve an old revision unawares. While the table is out for everyone nothing
// new can be accepted, and hearing of that from a peer is good for serving on.
type Adoption struct {
	validity time.Duration
	alone    bool
	strict   bool

	revision  int64
	known     int64
	confirmed time.Time
	heard     time.Time
	tableDown bool
}

// NewAdoption returns the state of a router that knows nothing; alone says that it has no peers by its settings.
func NewAdoption(validity time.Duration, alone bool) *Adoption {
	return &Adoption{validity: validity, alone: alone}
}

// Strict makes a confirmation the only ground to serve on: a process that can't
// tell whether the table is out for all or only for itself does not serve on.
func (a *Adoption) Strict() { a.strict = true }

// Confirm takes the newest revision in force by the table or the object store, read by a call that began at begun.
func (a *Adoption) Confirm(begun time.Time, revision int64) {
	a.known = max(a.known, revision)
	if begun.After(a.confirmed) {
		a.confirmed = begun
	}
}

// TableUp notes that the table answered.
func (a *Adoption) TableUp() { a.tableDown = false }

// TableDown notes that the table did not answer.
func (a *Adoption) TableDown() { a.tableDown = true }

// PeerWord is what a peer says of configuration in one exchange.
type PeerWord struct {
	Revision int64
	// ConfirmedAge is how long before it answered the peer's confirmation was made; negative means never.
	ConfirmedAge time.Duration
	TableDown    bool
}

// Peer takes a peer's word, got by a call that began at begun.
func (a *Adoption) Peer(begun time.Time, w PeerWord) {
	a.known = max(a.known, w.Revision)
	if w.ConfirmedAge >= 0 {
		if at := begun.Add(-w.ConfirmedAge); at.After(a.confirmed) {
			a.confirmed = at
		}
	}
	if w.TableDown && w.Revision > 0 && begun.After(a.heard) {
		a.heard = begun
	}
}

// Adopted notes that the router serves under a revision; it never goes back.
func (a *Adoption) Adopted(revision int64) {
	a.revision = max(a.revision, revision)
	a.known = max(a.known, revision)
}

// Revision returns the revision that the router serves under, zero before the first.
func (a *Adoption) Revision() int64 { return a.revision }

// Wanted returns the newest revision heard of, which is above Revision until it is fetched.
func (a *Adoption) Wanted() int64 { return a.known }

// Serving reports whether the router may serve now: it is on the newest revision
// it knows of, and that is confirmed or the table is out for its peers too.
func (a *Adoption) Serving(now time.Time) bool {
	if a.revision == 0 || a.revision < a.known {
		return false
	}
	if now.Sub(a.confirmed) <= a.validity {
		return true
	}
	if a.strict || a.confirmed.IsZero() || !a.tableDown {
		return false
	}
	return a.alone || now.Sub(a.heard) <= a.validity
}

// Confirmed returns when the newest confirmation was begun, zero before the first.
func (a *Adoption) Confirmed() time.Time { return a.confirmed }

// Word returns what the router tells its peers of configuration.
func (a *Adoption) Word(now time.Time) PeerWord {
	w := PeerWord{Revision: a.revision, ConfirmedAge: -1, TableDown: a.tableDown}
	if !a.confirmed.IsZero() {
		w.ConfirmedAge = now.Sub(a.confirmed)
	}
	return w
}
