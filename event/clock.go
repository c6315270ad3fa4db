package event

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

// Stamp is a reading of a hybrid logical clock: wall time and a counter that orders equal times.
type Stamp struct {
	Time time.Time
	N    uint32
}

// Compare returns -1, 0 or +1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	if c := s.Time.Compare(o.Time); c != 0 {
		return c
	}
	switch {
	case s.N < o.N:
		return -1
	case s.N > o.N:
		return 1
	}
	return 0
}

// String renders the stamp as Unix nanoseconds, a dot and the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.Time.UnixNano(), s.N)
}

// ParseStamp parses the form that [Stamp.String] returns; any other text is an error.
func ParseStamp(text string) (Stamp, error) {
	nanos, counter, ok := strings.Cut(text, ".")
	if !ok {
		return Stamp{}, errs.Errorf("stamp %q has no counter", text)
	}
	ns, err := strconv.ParseInt(nanos, 10, 64)
	if err != nil {
		return Stamp{}, errs.Errorf("stamp time: %w", err)
	}
	n, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Stamp{}, errs.Errorf("stamp counter: %w", err)
	}
	return Stamp{Time: time.Unix(0, ns).UTC(), N: uint32(n)}, nil
}

// maxAhead bounds how far a received stamp may advance the clock, so that one process
// with a wrong clock cannot shift the stamps of the whole fleet.
const maxAhead = time.Minute

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a stamp later than all stamps returned or accepted before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UTC().Round(0)
	if wall.After(c.last.Time) {
		c.last = Stamp{Time: wall}
	} else {
		c.last.N++
	}
	return c.last
}

// Observe advances the clock past a stamp received from another process. It ignores a stamp
// more than maxAhead in the future.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Time.After(c.now().Add(maxAhead)) {
		return
	}
	if c.last.Compare(s) < 0 {
		c.last = s
	}
}
