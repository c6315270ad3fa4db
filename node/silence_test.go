package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilenceTimer checks for how long an attempt waits for the first part of its answer, with a
// prompt that is predicted to wait longer at its engine than the idle timeout.
func TestSilenceTimer(t *testing.T) {
	const idle, predicted = 20 * time.Millisecond, 2 * time.Second
	cases := map[string]struct {
		patience         time.Duration
		suspected, begun bool
		atLeast, atMost  time.Duration
	}{
		"no prediction":       {atLeast: idle, atMost: predicted},
		"a prediction":        {patience: predicted, atLeast: predicted, atMost: time.Minute},
		"a suspected target":  {patience: predicted, suspected: true, atLeast: idle, atMost: predicted},
		"a gap in the answer": {patience: predicted, begun: true, atLeast: idle, atMost: predicted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			gaveUp := make(chan time.Duration, 1)
			s := newSilenceTimer(begun.Add(c.patience), time.Now, func() bool { return c.suspected }, always, func() {
				gaveUp <- time.Since(begun)
			})
			s.begun.Store(c.begun)
			s.Reset(idle)
			after := <-gaveUp
			require.GreaterOrEqual(t, after, c.atLeast)
			require.Less(t, after, c.atMost)
		})
	}
}

// TestSilenceTimerOverlap checks that an attempt is not given up, nor its timer set anew, by an
// expiry that still asked about the target when the answer continued.
func TestSilenceTimerOverlap(t *testing.T) {
	for name, suspected := range map[string]bool{"suspected": true, "not suspected": false} {
		t.Run(name, func(t *testing.T) {
			asked, answer := make(chan bool), make(chan bool)
			gaveUp := make(chan bool, 1)
			s := newSilenceTimer(time.Now().Add(150*time.Millisecond), time.Now,
				func() bool { asked <- true; return <-answer }, always, func() { gaveUp <- true })
			s.Reset(time.Millisecond)
			<-asked
			s.Stop()
			s.Reset(time.Hour)
			answer <- suspected
			select {
			case <-gaveUp:
				require.Fail(t, "the attempt was given up")
			case <-asked:
				require.Fail(t, "the timer was set anew")
			case <-time.After(4 * suspicionInterval):
			}
			s.Stop()
		})
	}
}

// TestSilenceTimerNowhereElse guards against answers that end because a target fell silent: an attempt
// whose request can go nowhere else goes on, and is given up once the request can.
func TestSilenceTimerNowhereElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked int
		gaveUp := make(chan time.Duration, 1)
		begun := time.Now()
		s := newSilenceTimer(begun, time.Now, func() bool { return false }, func() bool {
			asked++
			return asked >= 4
		}, func() { gaveUp <- time.Since(begun) })
		s.Reset(time.Second)
		require.Equal(t, time.Second+3*suspicionInterval, <-gaveUp)
		time.Sleep(time.Minute)
		require.Equal(t, 4, asked, "the timer went on after the attempt was given up")
	})
}

func always() bool { return true }
