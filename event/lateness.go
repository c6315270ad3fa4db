package event

import (
	"fmt"
	"time"

	"github.com/zeebo/errs/v2"
)

// Lateness holds the times of an answer whose first part came after the route's aim,
// measured from the request's arrival. It is the detail of [RequestLate].
type Lateness struct {
	First time.Duration
	Aim   time.Duration
	// Sent is when the last attempt was sent, Finished when the complete answer was forwarded.
	Sent     time.Duration
	Finished time.Duration
}

// latenessFormat is the text form of a lateness, with the times in the order of the fields.
const latenessFormat = "first part after %s the aim is %s sent after %s whole after %s"

// String renders the lateness with times in milliseconds.
func (l Lateness) String() string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf(latenessFormat, ms(l.First).String()+",", ms(l.Aim).String()+";", ms(l.Sent).String()+",", ms(l.Finished))
}

// ParseLateness parses the form that [Lateness.String] returns; any other text is an error.
func ParseLateness(text string) (Lateness, error) {
	var times [4]string
	if _, err := fmt.Sscanf(text, latenessFormat, &times[0], &times[1], &times[2], &times[3]); err != nil {
		return Lateness{}, errs.Errorf("lateness %q: %w", text, err)
	}
	var l Lateness
	for i, field := range []*time.Duration{&l.First, &l.Aim, &l.Sent, &l.Finished} {
		text := times[i]
		if i < len(times)-1 {
			text = text[:len(text)-1]
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return Lateness{}, errs.Errorf("lateness: %w", err)
		}
		*field = d
	}
	return l, nil
}
