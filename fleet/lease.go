package fleet

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs/v2"
)

// leaseRow is a lease as it stands in the table. It carries no time of day:
// others measure its length on their own clocks from when they first saw it.
type leaseRow struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// Beat changes with every renewal, and Token with every write: one that is done
	// late must not pass for a later one.
	Beat  int64  `json:"beat"`
	Token string `json:"token"`
	// Length is how long after the last beat the lease lasts.
	Length time.Duration `json:"lengthNs"`
	Freed  bool          `json:"freed,omitempty"`
	// Note is what the holder leaves for whoever reads the lease.
	Note json.RawMessage `json:"note,omitempty"`
	// Processes is how many processes the holder's fleet had, as far as it knew.
	Processes int `json:"processes,omitempty"`
}

// Lease is one process's side of a lease: whether it holds it, until when, and
// when it may take it from another.
//
// Clocks of different machines are never compared. The holder counts its time
// from before it sent the write that renewed the lease; another process counts
// from after it first read the newest beat, and waits for longer than the
// lease's length, so that the holder has stopped before it starts.
type Lease struct {
	name           string
	self           string
	ttl            time.Duration
	takeoverMargin time.Duration

	lastRow   leaseRow
	rev       int64
	lastRowAt time.Time
	known     bool
	// read says that the row was read before, at rev.
	read bool
	// fresh says that the row was written since it was first read in its era, so that it
	// is not one of an older copy.
	writtenInEra bool
	held         bool
	until        time.Time
	fence        int64
	pending      *pendingWrite
	note         json.RawMessage

	processes int
}

// pendingWrite is a write whose answer is not known yet.
type pendingWrite struct {
	row       leaseRow
	startedAt time.Time
}

// partLease is the table part of leases.
const partLease = "lease"

// NewLease returns a process's side of a named lease of the given length; guard
// is how much longer than the lease another process waits, and covers the
// longest order that the holder may still have under way.
func NewLease(name, self string, ttl, takeoverMargin time.Duration) *Lease {
	return &Lease{name: name, self: self, ttl: ttl, takeoverMargin: takeoverMargin}
}

// Name returns the lease's name.
func (l *Lease) Name() string { return l.name }

// Key returns where the lease stands in the table.
func (l *Lease) Key() (part, sort string) { return partLease, l.name }

// SetNote sets what the process's next write of the lease leaves for whoever reads it.
func (l *Lease) SetNote(note json.RawMessage) { l.note = note }

// Note returns what the lease's last writer left, as it was last read or written.
func (l *Lease) Note() json.RawMessage { return l.lastRow.Note }

// SetProcesses sets how many processes the next write of the lease says that the fleet has.
func (l *Lease) SetProcesses(n int) { l.processes = n }

// Processes returns how many processes the fleet had by the lease's last writer, zero
// where it did not say.
func (l *Lease) Processes() int { return l.lastRow.Processes }

// The bounds of a row that a process of this kind may have written: its length, in those of
// this process's own leases, and its fencing number.
const (
	maxLeaseTTLs = 10
	maxFence     = 1 << 53
)

// ErrLeaseInvalid says that a lease's row could not be read; [Lease.Read] has taken it all the same.
var ErrLeaseInvalid = errs.Tag("the lease's row is none that this program writes")

// decode reads the lease's row. One that is not as processes write it counts as held by
// somebody unknown from now on, so that it ends as any other lease does. Its fencing number is
// taken for the table's own revision of the row, which is at least as high as each write's.
func (l *Lease) decode(row Row) (leaseRow, error) {
	var r leaseRow
	err := json.Unmarshal(row.Data, &r)
	if err == nil && (r.Length <= 0 || r.Length > maxLeaseTTLs*l.ttl || r.Fence < 0 || r.Fence > maxFence) {
		err = errs.Errorf("a length of %s, a fence of %d", r.Length, r.Fence)
	}
	if err == nil {
		return r, nil
	}
	r = leaseRow{Holder: unknownHolder, Fence: max(l.lastRow.Fence, l.fence, row.Rev), Length: l.ttl}
	return r, ErrLeaseInvalid.Errorf("lease %s: %w", l.name, err)
}

// unknownHolder stands for whoever wrote a row that could not be read.
const unknownHolder = "?"

// HandleRead takes a read of the lease's row; ok is false where there is none.
func (l *Lease) HandleRead(now time.Time, row Row, ok bool) error {
	var (
		r   leaseRow
		err error
	)
	if ok {
		r, err = l.decode(row)
	}
	if l.read && Era(row.Rev) != Era(l.rev) {
		// The row is of an older copy. Another may have held the lease since, so that one
		// which ran out is not this process's any more though the row says so; nor does
		// the row tell of a write of before.
		l.held = l.Holds(now)
		l.pending = nil
	}
	if !l.known || row.Rev != l.rev {
		l.writtenInEra = l.read && Era(row.Rev) == Era(l.rev) && row.Rev > l.rev
		l.lastRow, l.rev, l.lastRowAt = r, row.Rev, now
	}
	l.known, l.read = true, true
	if r.Holder != l.self || r.Fence != l.fence {
		l.held = false
	}
	l.settlePending(r)
	return err
}

// settlePending resolves a write with a lost reply from what was read.
func (l *Lease) settlePending(r leaseRow) {
	p := l.pending
	if p == nil {
		return
	}
	l.pending = nil
	if r.Holder == p.row.Holder && r.Fence == p.row.Fence && r.Beat == p.row.Beat && r.Token == p.row.Token {
		l.markHeld(p)
	}
}

func (l *Lease) markHeld(p *pendingWrite) {
	l.held = true
	l.fence = p.row.Fence
	l.until = p.startedAt.Add(l.ttl)
}

// Next returns the write that takes or renews the lease, or ok false while
// there is nothing to write: another holds it, or the last write is not settled.
// The token tells the write from all others ever made.
func (l *Lease) Next(now time.Time, token string) (w Write, ok bool) {
	if !l.known || l.pending != nil {
		return Write{}, false
	}
	row, ok := l.nextRow(now)
	if !ok {
		return Write{}, false
	}
	row.Token = token
	data, err := json.Marshal(row)
	if err != nil {
		panic("fleet: a lease row does not encode")
	}
	l.pending = &pendingWrite{row: row, startedAt: now}
	return Write{Part: partLease, Sort: l.name, Data: data, If: l.expectedRevision()}, true
}

func (l *Lease) nextRow(now time.Time) (leaseRow, bool) {
	r := leaseRow{Holder: l.self, Fence: l.lastRow.Fence, Beat: l.lastRow.Beat + 1, Length: l.ttl, Note: l.note, Processes: l.processes}
	if l.held && l.lastRow.Holder == l.self {
		// Also a lease that ran out is renewed: while its row stands as this
		// process wrote it, no other has held the lease since.
		return r, true
	}
	if !l.available(now) {
		return leaseRow{}, false
	}
	// The row may be older than a lease that was lost with its copy: the era goes into
	// the high part, above all numbers of the eras before.
	r.Fence = max(r.Fence, Position(Era(l.rev), 0)) + 1
	return r, true
}

// available reports whether the lease may be taken. In a store that may have come back from an
// older copy, neither a row that is not there nor one that says that it was given up tells that
// nobody holds it: it is waited out as any other.
func (l *Lease) available(now time.Time) bool {
	switch {
	case Era(l.rev) == 0 && (l.rev == 0 || l.lastRow.Freed), l.writtenInEra && l.lastRow.Freed:
		return true
	}
	return now.Sub(l.lastRowAt) > max(l.lastRow.Length, l.ttl)+l.takeoverMargin
}

// HandleWrite takes the table's answer to the write that Next returned, with the row's new revision.
func (l *Lease) HandleWrite(now time.Time, rev int64, err error) {
	p := l.pending
	switch {
	case p == nil:
	case err == nil:
		l.pending = nil
		l.lastRow, l.lastRowAt = p.row, now
		l.rev = rev
		l.markHeld(p)
	case isConflict(err):
		l.pending = nil
		l.known = false
	default:
		// Not settled: the next Read tells.
		l.known = false
	}
}

// expectedRevision is the revision that the row must have; one that is not there has none.
func (l *Lease) expectedRevision() int64 {
	if Version(l.rev) == 0 {
		return 0
	}
	return l.rev
}

// Settled reports whether the row is known and no write is waiting for its outcome.
func (l *Lease) Settled() bool { return l.known && l.pending == nil }

// Holds reports whether the process holds the lease now.
func (l *Lease) Holds(now time.Time) bool { return l.held && now.Before(l.until) }

// HoldsFor reports whether the lease lasts for at least margin from now.
func (l *Lease) HoldsFor(now time.Time, margin time.Duration) bool {
	return l.held && now.Add(margin).Before(l.until)
}

// Fence returns the fencing number of the lease while it is held.
func (l *Lease) Fence() int64 { return l.fence }

// Holder returns the holder that the table last named, and its fencing number.
func (l *Lease) Holder() (id string, fence int64) { return l.lastRow.Holder, l.lastRow.Fence }

// Release returns the write that gives the lease up, if it is held.
func (l *Lease) Release(now time.Time) (w Write, ok bool) {
	if !l.Holds(now) || !l.known || l.pending != nil {
		return Write{}, false
	}
	row := l.lastRow
	row.Freed = true
	row.Beat++
	data, err := json.Marshal(row)
	if err != nil {
		panic("fleet: a lease row does not encode")
	}
	l.held = false
	return Write{Part: partLease, Sort: l.name, Data: data, If: l.expectedRevision()}, true
}
