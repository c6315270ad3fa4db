package route

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// testConfig declares two organisations, an engine pool and a service pool.
const testConfig = `
version: pathhead/v1
organisations:
  - {name: a, keys: [], weight: 1, limits: {requestsPerSecond: %g, inFlight: %d}}
  - {name: b, keys: [], weight: 1}
pools:
  - {name: e, kind: engine, selector: s=e, window: %d, trustRefusals: true}
  - {name: s, kind: service, selector: s=s, window: 4, trustRefusals: %t}
models: [{name: m, weights: %s, pool: e, floor: 1}]
`

type testSetup struct {
	rate     float64
	inFlight int
	window   int
	trust    bool
	weights  string
	revision int64
}

func (s testSetup) snapshot(t require.TestingT) *policy.Snapshot {
	if s.window == 0 {
		s.window = 3
	}
	if s.weights == "" {
		s.weights = "w1"
	}
	text := fmt.Sprintf(testConfig, s.rate, s.inFlight, s.window, s.trust, s.weights)
	cfg, err := policy.Parse("test", []byte(text))
	require.NoError(t, err)
	snap, err := policy.Compile(cfg, max(1, s.revision))
	require.NoError(t, err)
	return snap
}

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
}

// fakeTarget is the actual state of a target, against which the board's actions are checked.
type fakeTarget struct {
	addr         netip.AddrPort
	service      bool
	incarnation  int
	weights      string
	draining     bool
	listDraining bool
	// listed is set if the target is draining in the list that the board received last.
	listedDraining bool
}

func (f *fakeTarget) id() string { return fmt.Sprintf("%s#%d", f.addr, f.incarnation) }

func (f *fakeTarget) report() Report {
	r := Report{Incarnation: Incarnation(f.id()), Leaving: f.draining, Slots: 4, PrefillRate: 1000, Weights: map[string]string{}}
	if !f.service && f.weights != "" {
		r.Weights["m"] = f.weights
	}
	return r
}

// world is a simulation of one board and its targets.
type world struct {
	now      time.Time
	board    *Board
	snap     *policy.Snapshot
	targets  []*fakeTarget
	inFlight []Attempt
	// stale are attempts whose end was reported already; late replies to them may follow.
	stale []Attempt
	ends  map[string][]Action
	asked map[string]Request
	// privateSalts are the salts of attempts without a known model, with the attempt of each.
	privateSalts map[string]string
	ran          map[string]int
	sends        map[string]int
	nextID       int
	// announcedDraining holds the incarnations that the board knows to be draining.
	announcedDraining map[string]bool
	events            []event.Event
}

func newWorld(t require.TestingT, engines, services int, s testSetup) *world {
	w := &world{
		now: epoch, snap: s.snapshot(t), ends: make(map[string][]Action), asked: make(map[string]Request), privateSalts: make(map[string]string),
		ran: make(map[string]int), sends: make(map[string]int), announcedDraining: make(map[string]bool),
	}
	w.board = NewBoard(WithSeed(1), WithEventHandler(func(e event.Event) { w.events = append(w.events, e) }))
	for i := range engines + services {
		w.targets = append(w.targets, &fakeTarget{addr: testAddr(i), service: i >= engines, weights: "w1"})
	}
	w.board.Adopt(w.now, w.snap)
	w.reportList()
	for _, f := range w.targets {
		w.report(f)
	}
	return w
}

func (w *world) reportList() {
	var seen []ListedTarget
	for _, f := range w.targets {
		label := "e"
		if f.service {
			label = "s"
		}
		seen = append(seen, ListedTarget{Addr: f.addr, Labels: map[string]string{"s": label}, Leaving: f.listDraining})
		if f.listDraining && !f.listedDraining {
			w.announcedDraining[f.id()] = true
		}
		f.listedDraining = f.listDraining
	}
	w.execute(w.board.SetTargets(w.now, seen))
}

func (w *world) report(f *fakeTarget) {
	if f.draining {
		w.announcedDraining[f.id()] = true
	}
	w.execute(w.board.Report(w.now, f.addr, f.report()))
}

func (w *world) target(a netip.AddrPort) *fakeTarget {
	for _, f := range w.targets {
		if f.addr == a {
			return f
		}
	}
	return nil
}

// request submits a request whose prefix is determined by text.
func (w *world) request(org, text string, service, repeatable bool) string {
	w.nextID++
	r := Request{
		ID: fmt.Sprintf("r%d", w.nextID), Revision: w.board.Revision(), Org: org, Pool: "s", Deadline: w.now.Add(30 * time.Second),
		QueueTime: 10 * time.Second, Repeatable: repeatable, MaxTokens: 4,
	}
	if !service {
		m, _, _ := w.snap.Model("m")
		r.Pool, r.Model, r.Text, r.Repeatable, r.Resumable = "e", m, []byte(text), true, true
	}
	w.asked[r.ID] = r
	w.execute(w.board.Arrive(w.now, r))
	return r.ID
}

// execute executes actions and records them for check.
func (w *world) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.inFlight = append(w.inFlight, a.Attempt)
			w.sends[a.Attempt.Request]++
		case Refuse:
			w.ends[a.Request] = append(w.ends[a.Request], a)
		case Finish:
			w.ends[a.Request] = append(w.ends[a.Request], a)
		case Cancel:
			w.cancel(a)
		}
	}
}

// cancel removes a cancelled attempt whose request has ended.
func (w *world) cancel(c Cancel) {
	for i, a := range w.inFlight {
		if a.ID == c.Attempt && w.board.requests[a.Request] == nil {
			w.takeInFlight(i)
			return
		}
	}
}

// takeInFlight removes and returns the i-th attempt in flight.
func (w *world) takeInFlight(i int) Attempt {
	a := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	w.stale = append(w.stale, a)
	return a
}

// end reports the end of an attempt. If runs is set, the request has run at the target.
func (w *world) end(a Attempt, kind OutcomeKind, runs, delivered bool) {
	f := w.target(a.Target)
	if runs && f != nil {
		w.ran[a.Request]++
	}
	o := Outcome{Request: a.Request, Attempt: a.ID, Kind: kind, Delivered: delivered}
	if f != nil {
		o.Incarnation = Incarnation(f.id())
	}
	if kind == OutcomeDone {
		o.Usage = &Usage{Prompt: 100, Completion: 4, Cached: 10}
	}
	w.execute(w.board.Ended(w.now, o))
}

// check returns an error if an invariant is violated.
func (w *world) check() error {
	for id, ends := range w.ends {
		if len(ends) > 1 {
			return fmt.Errorf("request %s ended %d times: %v", id, len(ends), ends)
		}
		refuse, ok := ends[0].(Refuse)
		if ok && refuse.Refusal.Verdict == NotRun && w.ran[id] > 0 {
			return fmt.Errorf("request %s was answered with not-run but ran", id)
		}
	}
	for id, n := range w.ran {
		if r := w.asked[id]; !r.Repeatable && n > 1 {
			return fmt.Errorf("request %s is not repeatable and ran %d times", id, n)
		}
	}
	for id, n := range w.sends {
		if n > maxTries {
			return fmt.Errorf("request %s was sent %d times", id, n)
		}
	}
	perTarget := make(map[netip.AddrPort]int)
	for _, a := range w.inFlight {
		perTarget[a.Target]++
	}
	for addr, n := range perTarget {
		if p, _ := w.snap.Pool("e"); n > max(p.Window, 4) {
			return fmt.Errorf("target %s has %d requests in flight", addr, n)
		}
	}
	return nil
}
