package fleet

import "time"

// Adoption decides which revision a router serves under and whether it may serve.
//
// A confirmation says that at some moment no newer revision was in force. It is
// good for a bounded time, so that a router that was frozen or cut off does not
// serve an old revision unawares. While the table is out for everyone nothing
// new can be accepted, and hearing of that from a peer is good for serving on.
type Adoption struct {
	validity   time.Duration
	grace      time.Duration
	standalone bool
	strict     bool

	revision int64
	known    int64
	// current is the last moment of which it is known that nothing newer than revision
	// was in force, confirmed the same of known. They differ while a newer revision is
	// known and not served under: its confirmations say nothing good of the older one.
	current        time.Time
	confirmed      time.Time
	outageReported time.Time
	tableDown      bool
}

// AdoptionOption changes an [Adoption] at its construction.
type AdoptionOption func(*Adoption)

// WithGrace sets for how long after the last confirmation a router serves on under its
// revision although it knows of a newer one: at most the time that a change has for
// coming into force. Without it a router that is behind does not serve at all, and with each
// change refuses for as long as it takes to get it.
func WithGrace(d time.Duration) AdoptionOption {
	return func(a *Adoption) { a.grace = d }
}

// NewAdoption returns the state of a router that knows nothing; alone says that it has no peers by its settings.
func NewAdoption(validity time.Duration, standalone bool, opts ...AdoptionOption) *Adoption {
	a := &Adoption{validity: validity, standalone: standalone}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Strict makes a confirmation the only ground to serve on: a process that can't
// tell whether the table is out for all or only for itself does not serve on.
func (a *Adoption) Strict() { a.strict = true }

// Confirm takes the newest revision in force by the table or the object store, read by a call that began at begun.
func (a *Adoption) Confirm(begun time.Time, revision int64) {
	a.known = max(a.known, revision)
	a.recordConfirmation(begun, revision)
}

// recordConfirmation takes it that nothing newer than a revision was in force at a time.
func (a *Adoption) recordConfirmation(at time.Time, revision int64) {
	if at.After(a.confirmed) {
		a.confirmed = at
	}
	if revision <= a.revision && at.After(a.current) {
		a.current = at
	}
}

// TableUp notes that the table answered.
func (a *Adoption) TableUp() { a.tableDown = false }

// TableDown notes that the table did not answer.
func (a *Adoption) TableDown() { a.tableDown = true }

// ConfigStatus is what a peer says of configuration in one exchange.
type ConfigStatus struct {
	Revision int64
	// ConfirmedAge is how long before it answered nothing newer than Revision was in
	// force, as far as the peer knows; negative means that it can't tell.
	ConfirmedAge time.Duration
	TableDown    bool
}

// ObservePeer takes a peer's word, got by a call that began at begun.
func (a *Adoption) ObservePeer(begun time.Time, w ConfigStatus) {
	a.known = max(a.known, w.Revision)
	if w.ConfirmedAge >= 0 {
		a.recordConfirmation(begun.Add(-w.ConfirmedAge), w.Revision)
	}
	if w.TableDown && w.Revision > 0 && begun.After(a.outageReported) {
		a.outageReported = begun
	}
}

// Adopted notes that the router serves under a revision; it never goes back.
func (a *Adoption) Adopted(revision int64) {
	a.revision = max(a.revision, revision)
	a.known = max(a.known, revision)
	if a.revision == a.known {
		a.current = a.confirmed
	}
}

// Revision returns the revision that the router serves under, zero before the first.
func (a *Adoption) Revision() int64 { return a.revision }

// NewestKnown returns the newest revision heard of, which is above Revision until it is fetched.
func (a *Adoption) NewestKnown() int64 { return a.known }

// Behind reports whether a newer revision is known than the one served under.
func (a *Adoption) Behind() bool { return a.revision < a.known }

// Outdated reports whether the revision served under was replaced for so long that
// nothing may be served by it any more, as far as the router knows.
func (a *Adoption) Outdated(now time.Time) bool {
	return a.Behind() && (a.grace == 0 || now.Sub(a.current) > a.grace)
}

// Serving reports whether the router may serve now: its revision is the newest that
// it knows of, or was so lately, and that is confirmed or the table is out for its peers too.
func (a *Adoption) Serving(now time.Time) bool {
	if a.revision == 0 || a.Outdated(now) {
		return false
	}
	if now.Sub(a.current) <= a.validity {
		return true
	}
	if a.strict || a.current.IsZero() || !a.tableDown {
		return false
	}
	return a.standalone || now.Sub(a.outageReported) <= a.validity
}

// Current returns the last moment of which it is known that nothing newer than the
// revision served under was in force, zero before the first.
func (a *Adoption) Current() time.Time { return a.current }

// Status returns what the router tells its peers of configuration.
func (a *Adoption) Status(now time.Time) ConfigStatus {
	w := ConfigStatus{Revision: a.revision, ConfirmedAge: -1, TableDown: a.tableDown}
	if !a.current.IsZero() {
		w.ConfirmedAge = now.Sub(a.current)
	}
	return w
}
