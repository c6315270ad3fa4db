package transport

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryAfter checks the forms of the Retry-After header; an invalid value counts as none.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 3, 7, 0, 0, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for name, c := range map[string]struct {
		after []string
		date  string
		want  time.Duration
	}{
		"absent":                {nil, "", 0},
		"seconds":               {[]string{"3"}, "", 3 * time.Second},
		"a fraction":            {[]string{" 0.5 "}, "", 500 * time.Millisecond},
		"a date":                {[]string{date(20 * time.Second)}, "", 20 * time.Second},
		"a date, another clock": {[]string{date(20 * time.Second)}, date(-10 * time.Second), 30 * time.Second},
		"a date that is over":   {[]string{date(-time.Second)}, "", 0},
		"a far date":            {[]string{date(72 * time.Hour)}, "", maxRetryAfter},
		"zero":                  {[]string{"0"}, "", 0},
		"negative":              {[]string{"-1"}, "", 0},
		"not a number":          {[]string{"NaN"}, "", 0},
		"enormous":              {[]string{"1e300"}, "", maxRetryAfter},
		"without end":           {[]string{"+Inf"}, "", maxRetryAfter},
		"a text":                {[]string{"soon"}, "", 0},
		"repeated":              {[]string{"1", "soon", "3", "2"}, "", 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"Retry-After": c.after, "Date": {c.date}}
			require.Equal(t, c.want, RetryAfter(h, now))
		})
	}
}
