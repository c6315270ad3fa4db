package route

import (
	"strconv"
	"strings"
	"time"
)

// Incarnation identifies one start of a target: its id and, if known, the start time by its own
// clock. A target may restart under the same id; it then has an empty cache and no state, so
// everything believed about a target is tied to an incarnation.
//
// Start times are only compared for equality, never for order: a target's clock may jump, so that a
// later start has an earlier time. [Entry.Revision], a counter of the list itself, tells which list
// entry is newer.
type Incarnation string

// startSeparator separates the id from the start time.
const startSeparator = "@"

// NewIncarnation returns the incarnation with the given id and start time, which is zero if
// unknown.
func NewIncarnation(id string, start time.Time) Incarnation {
	switch {
	case !start.IsZero():
		return Incarnation(id + startSeparator + strconv.FormatInt(start.UnixMilli(), 10))
	case strings.Contains(id, startSeparator):
		return Incarnation(id + startSeparator)
	}
	return Incarnation(id)
}

// ID returns the target's id, which is the same after a restart.
func (i Incarnation) ID() string {
	if at := strings.LastIndex(string(i), startSeparator); at >= 0 {
		return string(i[:at])
	}
	return string(i)
}

// Start returns the start time by the target's own clock, in milliseconds; ok is false if it is
// unknown.
func (i Incarnation) Start() (start time.Time, ok bool) {
	at := strings.LastIndex(string(i), startSeparator)
	if at < 0 {
		return start, false
	}
	ms, err := strconv.ParseInt(string(i[at+len(startSeparator):]), 10, 64)
	if err != nil {
		return start, false
	}
	return time.UnixMilli(ms).UTC(), true
}

// OtherStart reports whether the incarnation is known to have started at another time than the
// given one. It is false if either time is unknown.
func (i Incarnation) OtherStart(start time.Time) bool {
	own, ok := i.Start()
	return ok && !start.IsZero() && own.UnixMilli() != start.UnixMilli()
}

// Same reports whether both may denote the same start: they have the same id and, if both have a
// start time, the same time. An incarnation without a time does not indicate a new start.
func (i Incarnation) Same(other Incarnation) bool {
	if i == other {
		return true
	}
	_, known := i.Start()
	_, otherKnown := other.Start()
	return i.ID() == other.ID() && !(known && otherKnown)
}
