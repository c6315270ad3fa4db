package cutoff

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/platform/platformtest"
)

const (
	// controlExchanges is the number of calls to targets, one after another, that make up a request of
	// a control. A request that is handed over takes as many: to its node, to another and to the target.
	controlExchanges = 3
	// controlTime is the time that a request of a control has from when it is due, that of the routes'
	// aim: nodes refuse requests whose answers are predicted to be later.
	controlTime = aim
	// controlShare is the least share of a control's requests that a machine must serve for a play to
	// be judged. What the machine alone costs must be well below what nodes may fail to serve.
	controlShare = 0.98
	// maxPlays and maxWarmUps are the maximum numbers of times that a play and its warm-up run on a machine
	// that does not serve the control.
	maxPlays   = 3
	maxWarmUps = 8
	// repeatTime is how long after the start of this process they are repeated. The tests' time limit leaves
	// as much again for what remains.
	repeatTime = 4 * time.Minute
)

var processStart = time.Now()

// mayRepeat reports whether there is time to repeat something.
func mayRepeat() bool { return time.Since(processStart) < repeatTime }

// verdict is what came of a play.
type verdict struct {
	// faults lists the bounds that do not hold.
	faults []string
	// final is true if the faults count: the machine served the control, or the warm-up was repeated in vain.
	final bool
}

// atLeast and atMost check a bound.
func (v *verdict) atLeast(got, bound float64, what string) {
	if got < bound {
		v.faults = append(v.faults, fmt.Sprintf("%s: %v is less than %v", what, got, bound))
	}
}

func (v *verdict) atMost(got, bound int, what string) {
	if got > bound {
		v.faults = append(v.faults, fmt.Sprintf("%s: %v is more than %v", what, got, bound))
	}
}

// judge plays with a new fleet, and fails if its bounds do not hold. A play with faults during which the
// machine did not serve the control is repeated, a few times at most; the last one counts as it is.
func judge(t *testing.T, play func(t *testing.T) verdict) {
	runInParallel(t)
	for i, again := 1, true; again; i++ {
		again = false
		t.Run(fmt.Sprintf("play %d", i), func(t *testing.T) {
			v := play(t)
			if again = len(v.faults) > 0 && !v.final && i < maxPlays && mayRepeat(); again {
				t.Logf("the machine did not serve the control: %q", v.faults)
				return
			}
			require.Empty(t, v.faults)
		})
	}
}

// control tells whether this machine runs this process in time. Its callers send the requests of one
// node's callers straight to targets of their own, without any node: what they lack no node is to blame
// for.
type control struct {
	targets map[bool]*platformtest.Replica
	client  *http.Client
	stop    func()

	mu sync.Mutex
	// requests has the time at which each request was due, and whether it was served in time.
	requests map[time.Time]bool
}

// startControl starts the targets and the callers of a control.
func (f *cutoffFleet) startControl() *control {
	store, log := platformtest.NewStore(), new(platformtest.RunLog)
	start := func(id string, opts ...platformtest.Option) *platformtest.Replica {
		r, err := platformtest.Start(store, log, id, id, netip.AddrPort{}, append(opts, platformtest.WithHeartbeat(rareHeartbeat))...)
		require.NoError(f.t, err)
		return r
	}
	c := &control{
		targets: map[bool]*platformtest.Replica{
			true:  start(engineName, platformtest.WithModel(cutoffModel, 1), platformtest.WithEvents(streamEvents, eventPause)),
			false: start(plainName),
		},
		client:   &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}},
		requests: make(map[time.Time]bool),
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, k := range callKinds {
		callers.Go(func() { c.callSteadily(done, &callers, k) })
	}
	c.stop = sync.OnceFunc(func() {
		close(done)
		callers.Wait()
		c.client.CloseIdleConnections()
		for _, r := range c.targets {
			r.Crash()
		}
	})
	return c
}

// callSteadily sends requests of a kind until done is closed. A request whose time passed while this
// process did not run is sent late.
func (c *control) callSteadily(done <-chan struct{}, callers *sync.WaitGroup, k callKind) {
	for due := time.Now(); ; due = due.Add(callPause) {
		select {
		case <-done:
			return
		case <-time.After(time.Until(due)):
		}
		c.record(due, false)
		callers.Go(func() { c.record(due, c.serves(k, due)) })
	}
}

func (c *control) record(due time.Time, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[due] = served
}

// serves reports whether a request is served in time.
func (c *control) serves(k callKind, due time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(controlTime))
	defer cancel()
	for i := range controlExchanges {
		stream := k.stream && i == controlExchanges-1
		id := fmt.Sprintf("control-%s-%d-%d", strings.Trim(k.prefix, "/"), due.UnixNano(), i)
		if !c.exchange(ctx, callKind{prefix: k.prefix, stream: stream}, id) {
			return false
		}
	}
	return true
}

// exchange calls a target, and reports whether its answer is whole.
func (c *control) exchange(ctx context.Context, k callKind, id string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.targets[k.stream].Addr.String()+k.prefix+id, strings.NewReader("the body of "+id))
	if err != nil {
		return false
	}
	requestInfo(k, id, "a1:50,b1:50").Set(req.Header)
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == k.answerTo(id)
}

// tallyOf counts the requests that were due from one time until another.
func (c *control) tallyOf(from, until time.Time) tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	var t tally
	for due, served := range c.requests {
		if !due.Before(from) && due.Before(until) {
			t.sent++
			if served {
				t.served++
			}
		}
	}
	return t
}

// served reports whether this machine served the requests of a span of time that has ended.
func (c *control) served(from, until time.Time) bool {
	return c.tallyOf(from, until).share() >= controlShare
}
