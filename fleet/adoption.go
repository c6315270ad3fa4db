package fleet

import "time"

// Adoption tracks which configuration revision a router serves under and whether it may serve at
// all.
//
// A confirmation states that no newer revision was in force at some moment. It is valid for a
// bounded time, so that a router that was frozen or partitioned does not keep serving an old
// revision unnoticed. While the table is unavailable to every process, no new revision can be
// accepted, so a peer's report of that outage also permits the router to keep serving.
type Adoption struct {
	validity   time.Duration
	grace      time.Duration
	standalone bool
	strict     bool

	revision int64
	known    int64
	// current is the latest moment at which nothing newer than revision is known to have been in
	// force; confirmed is the same for known. They differ while a newer revision is known but not
	// yet served under: its confirmations say nothing about the older revision.
	current        time.Time
	confirmed      time.Time
	outageReported time.Time
	tableDown      bool
	// unreadable is the newest revision in force if this process cannot read it, else zero.
	unreadable int64
}

// AdoptionOption configures an [Adoption] at its construction.
type AdoptionOption func(*Adoption)

// WithGrace sets how long after the last confirmation a router that knows of a newer revision keeps
// serving under its current one. It must not exceed the time that a change may take to come into
// force. Without it a router that is behind does not serve at all, and refuses requests after every
// change until it has fetched the new revision.
func WithGrace(d time.Duration) AdoptionOption {
	return func(a *Adoption) { a.grace = d }
}

// NewAdoption returns the state of a router that has no configuration yet; standalone means that it
// is configured without peers.
func NewAdoption(validity time.Duration, standalone bool, opts ...AdoptionOption) *Adoption {
	a := &Adoption{validity: validity, standalone: standalone}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Strict makes the process serve only with a valid confirmation. Use it for a process that cannot
// tell whether the table is unavailable to everyone or only to itself.
func (a *Adoption) Strict() { a.strict = true }

// Confirm records the newest revision in force according to the table or the object store, read by
// a call that started at startedAt.
func (a *Adoption) Confirm(startedAt time.Time, revision int64) {
	a.known = max(a.known, revision)
	a.recordConfirmation(startedAt, revision)
}

// recordConfirmation records that nothing newer than a revision was in force at a given time.
func (a *Adoption) recordConfirmation(at time.Time, revision int64) {
	if at.After(a.confirmed) {
		a.confirmed = at
	}
	if revision <= a.revision && !a.HasUnreadable() && at.After(a.current) {
		a.current = at
	}
}

// Unreadable records the newest revision in force, according to the table, if this process cannot read
// it. The process is behind then, and nothing confirms the revision that it serves under.
func (a *Adoption) Unreadable(revision int64) { a.unreadable = revision }

// Readable records that the newest revision in force, according to the table, was read.
func (a *Adoption) Readable() { a.unreadable = 0 }

// HasUnreadable reports whether a newer revision than the one served under cannot be read by this
// process.
func (a *Adoption) HasUnreadable() bool { return a.unreadable > a.revision }

// TableUp records that the table answered.
func (a *Adoption) TableUp() { a.tableDown = false }

// TableDown records that the table did not answer.
func (a *Adoption) TableDown() { a.tableDown = true }

// ConfigStatus is the configuration state that a process sends to a peer in one exchange.
type ConfigStatus struct {
	Revision int64
	// ConfirmedAge is the time between the latest moment at which the peer knows that nothing newer
	// than Revision was in force and its answer; negative if unknown.
	ConfirmedAge time.Duration
	TableDown    bool
	// Unreadable is set if the peer cannot read the newest revision in force.
	Unreadable bool
}

// ObservePeer records a peer's status, received by a call that started at startedAt.
func (a *Adoption) ObservePeer(startedAt time.Time, status ConfigStatus) {
	a.known = max(a.known, status.Revision)
	if status.ConfirmedAge >= 0 {
		a.recordConfirmation(startedAt.Add(-status.ConfirmedAge), status.Revision)
	}
	if status.TableDown && status.Revision > 0 && startedAt.After(a.outageReported) {
		a.outageReported = startedAt
	}
}

// Adopted records that the router serves under a revision. The revision never decreases.
func (a *Adoption) Adopted(revision int64) {
	a.revision = max(a.revision, revision)
	a.known = max(a.known, revision)
	if a.revision == a.known && !a.HasUnreadable() {
		a.current = a.confirmed
	}
}

// Revision returns the revision that the router serves under, or zero before the first one.
func (a *Adoption) Revision() int64 { return a.revision }

// NewestKnown returns the newest revision that the router knows of. It is above Revision until that
// one is fetched.
func (a *Adoption) NewestKnown() int64 { return max(a.known, a.unreadable) }

// Behind reports whether a newer revision is known than the one served under, be it one that cannot
// be read.
func (a *Adoption) Behind() bool { return a.revision < a.NewestKnown() }

// Outdated reports whether, as far as the router knows, its revision was replaced so long ago that
// requests may no longer be served under it.
func (a *Adoption) Outdated(now time.Time) bool {
	return a.Behind() && (a.grace == 0 || now.Sub(a.current) > a.grace)
}

// Serving reports whether the router may serve now. Its revision must be the newest known one, or
// behind it by no more than the grace period, and must be confirmed within the validity. Without a
// recent confirmation it may serve only if the table is unavailable to this router and to a peer,
// or to this router if it has no peers.
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

// Current returns the latest moment at which nothing newer than the revision served under is known
// to have been in force, or zero if there is none.
func (a *Adoption) Current() time.Time { return a.current }

// Status returns the configuration state that the router sends to its peers.
func (a *Adoption) Status(now time.Time) ConfigStatus {
	w := ConfigStatus{Revision: a.revision, ConfirmedAge: -1, TableDown: a.tableDown, Unreadable: a.HasUnreadable()}
	if !a.current.IsZero() {
		w.ConfirmedAge = now.Sub(a.current)
	}
	return w
}
