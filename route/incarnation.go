package route

import (
	"strconv"
	"strings"
	"time"
)

// Incarnation names one start of a target: its id and, where it tells that, the time of
// its start by its own clock. A target may start again under the id that it had; it
// then holds and knows nothing of before, so whatever is believed of a target is believed
// of an incarnation.
//
// Times of starts are compared for being the same and never for which is later: the clock
// of a target may jump, so that a later start has an earlier time. Which entry of the list
// is the newer one is told by [Entry.Revision], a counter of the list's own.
type Incarnation string

// startSeparator stands between an id and the time of a start.
const startSeparator = "@"

// NewIncarnation returns the incarnation with an id that started at a time, zero where
// that is not known.
func NewIncarnation(id string, start time.Time) Incarnation {
	switch {
	case !start.IsZero():
		return Incarnation(id + startSeparator + strconv.FormatInt(start.UnixMilli(), 10))
	case strings.Contains(id, startSeparator):
		return Incarnation(id + startSeparator)
	}
	return Incarnation(id)
}

// ID returns the target's id, which is the same after it was started again.
func (i Incarnation) ID() string {
	if at := strings.LastIndex(string(i), startSeparator); at >= 0 {
		return string(i[:at])
	}
	return string(i)
}

// Start returns when the target started by its own clock, in milliseconds; ok is false
// where it does not tell.
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

// OtherStart reports whether the incarnation is known to have started at another time than
// the given one; it is not where either time is not told.
func (i Incarnation) OtherStart(start time.Time) bool {
	own, ok := i.Start()
	return ok && !start.IsZero() && own.UnixMilli() != start.UnixMilli()
}

// Same reports whether both may name one start: they have one id, and one time of the
// start where both tell it. What tells no time says nothing of a new start.
func (i Incarnation) Same(other Incarnation) bool {
	if i == other {
		return true
	}
	_, known := i.Start()
	_, otherKnown := other.Start()
	return i.ID() == other.ID() && !(known && otherKnown)
}
