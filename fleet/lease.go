package fleet

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs/v2"
)

// leaseRow is a lease as stored in the table. It carries no wall-clock time: other processes
// measure its length on their own clocks from when they first read it.
type leaseRow struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// Beat changes with every renewal and Token with every write, so that a delayed write is not
	// mistaken for a later one.
	Beat  int64  `json:"beat"`
	Token string `json:"token"`
	// Length is the duration of the lease after the last beat.
	Length time.Duration `json:"lengthNs"`
	Freed  bool          `json:"freed,omitempty"`
	// Note is data that the holder stores for readers of the lease.
	Note json.RawMessage `json:"note,omitempty"`
	// Processes is the number of processes in the fleet as known to the holder.
	Processes int `json:"processes,omitempty"`
}

// Lease is one process's side of a lease: whether it holds the lease, until when, and when it may
// take over from another holder.
//
// Clocks of different machines are never compared. The holder counts from before it sent the write
// that renewed the lease. Another process counts from after it first read the newest beat and waits
// longer than the lease's length, so that the holder has stopped before it starts.
type Lease struct {
	name           string
	self           string
	ttl            time.Duration
	takeoverMargin time.Duration

	lastRow   leaseRow
	rev       int64
	lastRowAt time.Time
	known     bool
	// read is true once the row was read, at rev.
	read bool
	// writtenInEra is true if the row was written after this process first read it in its era, so
	// that the row does not come from an older copy of the store.
	writtenInEra bool
	held         bool
	until        time.Time
	fence        int64
	pending      *pendingWrite
	note         json.RawMessage

	processes int
}

// pendingWrite is a write whose result is not known yet.
type pendingWrite struct {
	row       leaseRow
	startedAt time.Time
}

// partLease is the table part of leases.
const partLease = "lease"

// NewLease returns a process's side of a named lease with duration ttl. takeoverMargin is how much
// longer than ttl another process waits; it must cover the longest order that the holder may still
// have in progress.
func NewLease(name, self string, ttl, takeoverMargin time.Duration) *Lease {
	return &Lease{name: name, self: self, ttl: ttl, takeoverMargin: takeoverMargin}
}

// Name returns the lease's name.
func (l *Lease) Name() string { return l.name }

// Key returns the table part and sort key of the lease's row.
func (l *Lease) Key() (part, sort string) { return partLease, l.name }

// SetNote sets the note that the next write of the lease stores.
func (l *Lease) SetNote(note json.RawMessage) { l.note = note }

// Note returns the note stored by the lease's last writer, as of the last read or write.
func (l *Lease) Note() json.RawMessage { return l.lastRow.Note }

// SetProcesses sets the fleet size that the next write of the lease stores.
func (l *Lease) SetProcesses(n int) { l.processes = n }

// Processes returns the fleet size stored by the lease's last writer, or zero if it stored none.
func (l *Lease) Processes() int { return l.lastRow.Processes }

// Limits for a row written by this program: its length as a multiple of this process's own ttl, and
// its fencing token.
const (
	maxLeaseTTLs = 10
	maxFence     = 1 << 53
)

// ErrLeaseInvalid means that a lease's row could not be decoded or is out of range.
// [Lease.HandleRead] has still recorded the read.
var ErrLeaseInvalid = errs.Tag("invalid lease row")

// decode decodes the lease's row. An invalid row counts as held by an unknown holder from now on,
// so that it expires like any other lease. Its fencing token is at least the row's table revision,
// which is at least as high as the fencing token of every write.
func (l *Lease) decode(row Row) (leaseRow, error) {
	var r leaseRow
	err := json.Unmarshal(row.Data, &r)
	if err == nil && (r.Length <= 0 || r.Length > maxLeaseTTLs*l.ttl || r.Fence < 0 || r.Fence > maxFence) {
		err = errs.Errorf("length %s or fence %d out of range", r.Length, r.Fence)
	}
	if err == nil {
		return r, nil
	}
	r = leaseRow{Holder: unknownHolder, Fence: max(l.lastRow.Fence, l.fence, row.Rev), Length: l.ttl}
	return r, ErrLeaseInvalid.Errorf("lease %s: %w", l.name, err)
}

// unknownHolder is the holder of a row that could not be decoded.
const unknownHolder = "?"

// HandleRead processes the result of reading the lease's row; ok is false if there is none.
func (l *Lease) HandleRead(now time.Time, row Row, ok bool) error {
	var (
		r   leaseRow
		err error
	)
	if ok {
		r, err = l.decode(row)
	}
	if l.read && Era(row.Rev) != Era(l.rev) {
		// The row comes from an older copy of the store. Another process may have held the lease
		// since, so an expired lease is no longer this process's even if the row names it. The row
		// also does not show whether an earlier write took effect.
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

// settlePending resolves a write with a lost reply by comparing it with the row that was read.
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

// Next returns the write that takes or renews the lease. ok is false if there is nothing to write,
// because another process holds the lease or the result of the last write is unknown. The token
// must be unique among all writes ever made.
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
		panic("fleet: cannot encode lease row: " + err.Error())
	}
	l.pending = &pendingWrite{row: row, startedAt: now}
	return Write{Part: partLease, Sort: l.name, Data: data, If: l.expectedRevision()}, true
}

func (l *Lease) nextRow(now time.Time) (leaseRow, bool) {
	r := leaseRow{Holder: l.self, Fence: l.lastRow.Fence, Beat: l.lastRow.Beat + 1, Length: l.ttl, Note: l.note, Processes: l.processes}
	if l.held && l.lastRow.Holder == l.self {
		// An expired lease is renewed too: while its row is as this process wrote it, no other
		// process has held the lease since.
		return r, true
	}
	if !l.available(now) {
		return leaseRow{}, false
	}
	// The row may be older than a lease that was lost with its copy of the store. The era is placed
	// in the high bits, above all fencing tokens of earlier eras.
	r.Fence = max(r.Fence, Position(Era(l.rev), 0)) + 1
	return r, true
}

// available reports whether the lease may be taken. In a store that may have been restored from an
// older copy, neither a missing row nor a released one proves that nobody holds the lease; such a
// row is waited out like any other.
func (l *Lease) available(now time.Time) bool {
	switch {
	case Era(l.rev) == 0 && (l.rev == 0 || l.lastRow.Freed), l.writtenInEra && l.lastRow.Freed:
		return true
	}
	return now.Sub(l.lastRowAt) > max(l.lastRow.Length, l.ttl)+l.takeoverMargin
}

// HandleWrite processes the table's answer to the write that Next returned; rev is the row's new
// revision.
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
		// The result is unknown until the next HandleRead.
		l.known = false
	}
}

// expectedRevision is the revision that the row must have for a write to succeed, or zero if the
// row must be absent.
func (l *Lease) expectedRevision() int64 {
	if Version(l.rev) == 0 {
		return 0
	}
	return l.rev
}

// Settled reports whether the row is known and no write is pending.
func (l *Lease) Settled() bool { return l.known && l.pending == nil }

// Holds reports whether the process holds the lease now.
func (l *Lease) Holds(now time.Time) bool { return l.held && now.Before(l.until) }

// HoldsFor reports whether the lease lasts for at least margin from now.
func (l *Lease) HoldsFor(now time.Time, margin time.Duration) bool {
	return l.held && now.Add(margin).Before(l.until)
}

// Fence returns the fencing token of the lease while it is held.
func (l *Lease) Fence() int64 { return l.fence }

// Holder returns the holder that the table last named and its fencing token.
func (l *Lease) Holder() (id string, fence int64) { return l.lastRow.Holder, l.lastRow.Fence }

// Release returns the write that gives up the lease, if it is held.
func (l *Lease) Release(now time.Time) (w Write, ok bool) {
	if !l.Holds(now) || !l.known || l.pending != nil {
		return Write{}, false
	}
	row := l.lastRow
	row.Freed = true
	row.Beat++
	data, err := json.Marshal(row)
	if err != nil {
		panic("fleet: cannot encode lease row: " + err.Error())
	}
	l.held = false
	return Write{Part: partLease, Sort: l.name, Data: data, If: l.expectedRevision()}, true
}
