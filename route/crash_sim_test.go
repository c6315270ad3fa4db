package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The figures of a simulated fleet before targets that end: nine targets, as many requests as
// keep each of them at some ten, and a client that comes once more after a failure.
const (
	crashStep     = 5 * time.Millisecond
	crashTargets  = 9
	crashRate     = 120
	crashBack     = 1500 * time.Millisecond
	crashList     = 300 * time.Millisecond
	crashEnds     = 80 * time.Millisecond
	crashFirst    = 40 * time.Millisecond
	crashLook     = 15 * time.Millisecond
	crashPlayTime = 12 * time.Second
	// crashCopies is the pause between two copies of a guilty request.
	crashCopies = 150 * time.Millisecond
)

// simRun is an attempt that a simulated target runs.
type simRun struct {
	board   int
	attempt Attempt
	client  *simClient
	first   time.Time
	due     time.Time
}

// simClient is one request of a client, with its copies.
type simClient struct {
	print  Fingerprint
	guilty bool
	plain  bool
	tries  int
	// answered and held say how it ended.
	answered, held bool
	ran            bool
	heldAfterRun   bool
}

// crashTarget is a simulated target.
type crashTarget struct {
	fake *fakeTarget
	up   bool
	back time.Time
	runs []*simRun
}

// crashFleet is a fleet of boards before targets that end under requests.
type crashFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	boards  []*Board
	targets []*crashTarget
	clients map[string]*simClient
	all     []*simClient
	nextID  int
	// lag is how long what a board sees takes to all others.
	lag     time.Duration
	cursors []int64
	words   []simUpdates
	checks  []simCheck
	retries []simRetry
	listed  time.Time
	snapRev int64
	// alike is the text of all innocent requests, which are of a plain service; empty for texts of their own.
	alike string
	// ends counts the targets that ended under guilty requests, late the sends of one that came
	// later than known after the third.
	ends, late map[Fingerprint]int
	third      map[Fingerprint]time.Time
}

type simUpdates struct {
	at    time.Time
	from  int
	words []CrashUpdate
}

type simCheck struct {
	at     time.Time
	board  int
	target *crashTarget
}

type simRetry struct {
	at     time.Time
	client *simClient
}

// crashKnown is when all boards must hold a request back after its third end.
const crashKnown = 3 * time.Second

func newCrashFleet(t *testing.T, boards int, lag time.Duration, seed uint64) *crashFleet {
	w := newWorld(t, 0, crashTargets, testSetup{trust: true})
	f := &crashFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, lag: lag, cursors: make([]int64, boards),
		clients: make(map[string]*simClient), ends: make(map[Fingerprint]int), late: make(map[Fingerprint]int), third: make(map[Fingerprint]time.Time),
	}
	for _, fake := range w.targets {
		f.targets = append(f.targets, &crashTarget{fake: fake, up: true})
	}
	for i := range boards {
		b := NewBoard(WithSeed(seed+uint64(i)), WithRouters(boards))
		b.Adopt(f.now, w.snap)
		f.boards = append(f.boards, b)
	}
	f.snapRev = w.snap.Revision
	f.list()
	return f
}

// list tells all boards the list, with what each target says of itself.
func (f *crashFleet) list() {
	f.listed = f.now
	for i, b := range f.boards {
		var seen []ListedTarget
		for _, target := range f.targets {
			seen = append(seen, ListedTarget{Addr: target.fake.addr, Labels: map[string]string{"s": "s"}, Incarnation: Incarnation(target.fake.id())})
		}
		f.act(i, b.SetTargets(f.now, seen))
		for _, target := range f.targets {
			if target.up {
				f.act(i, b.Report(f.now, target.fake.addr, target.fake.report()))
			}
		}
	}
}

// send has a client's request come to some board.
func (f *crashFleet) send(c *simClient) {
	c.tries++
	f.nextID++
	id := fmt.Sprint("r", f.nextID)
	f.clients[id] = c
	i := f.rng.IntN(len(f.boards))
	f.act(i, f.boards[i].Arrive(f.now, Request{
		ID: id, Revision: f.snapRev, Org: "b", Pool: "s", Deadline: f.now.Add(8 * time.Second), QueueTime: 2 * time.Second,
		Repeatable: true, MaxTries: 2, Print: c.print, Streams: !c.plain, Resumable: !c.plain, ResumeAnywhere: true,
	}))
}

func (f *crashFleet) newClient(guilty bool, print string) *simClient {
	c := &simClient{print: FingerprintOf("b", "POST", "h", "/", []byte(print)), guilty: guilty}
	f.all = append(f.all, c)
	return c
}

// act carries a board's actions out.
func (f *crashFleet) act(board int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			f.start(board, a.Attempt)
		case Refuse:
			f.failed(f.clients[a.Request], a.Refusal)
		case Finish:
			f.clients[a.Request].answered = true
		}
	}
}

func (f *crashFleet) failed(c *simClient, r Refusal) {
	if r.Cause == CauseCrashes {
		c.held = true
		c.heldAfterRun = c.heldAfterRun || c.ran
		return
	}
	if c.tries < 2 && !c.guilty {
		f.retries = append(f.retries, simRetry{f.now.Add(100 * time.Millisecond), c})
	}
}

// start begins an attempt at its target, which may be down.
func (f *crashFleet) start(board int, a Attempt) {
	c := f.clients[a.Request]
	target := f.target(a)
	out := Outcome{Request: a.Request, Attempt: a.ID, Kind: OutcomeUnsent}
	b := f.boards[board]
	if !target.up {
		f.act(board, b.TargetCrashed(f.now, a.Target))
		f.act(board, b.Ended(f.now, out))
		return
	}
	if id := Incarnation(target.fake.id()); id != a.Incarnation {
		out.Kind, out.Incarnation = OutcomeRefused, id
		f.act(board, b.Ended(f.now, out))
		return
	}
	if third, ok := f.third[c.print]; ok && c.guilty && f.now.Sub(third) > crashKnown {
		f.late[c.print]++
	}
	run := &simRun{board: board, attempt: a, client: c, first: f.now.Add(crashFirst)}
	run.due = f.now.Add(200*time.Millisecond + time.Duration(f.rng.Int64N(int64(600*time.Millisecond))))
	if c.guilty {
		run.first, run.due = run.due, f.now.Add(crashEnds)
	}
	target.runs = append(target.runs, run)
}

func (f *crashFleet) target(a Attempt) *crashTarget {
	for _, target := range f.targets {
		if target.fake.addr == a.Target {
			return target
		}
	}
	f.t.Fatalf("no target %s", a.Target)
	return nil
}

// crash ends a target; the boards see what ran there break off.
func (f *crashFleet) crash(target *crashTarget) {
	runs := target.runs
	target.runs, target.up, target.back = nil, false, f.now.Add(crashBack)
	under := make(map[Fingerprint]bool)
	for _, run := range runs {
		if run.client.guilty && !under[run.client.print] {
			under[run.client.print] = true
			if f.ends[run.client.print]++; f.ends[run.client.print] == 3 {
				f.third[run.client.print] = f.now
			}
		}
	}
	for _, run := range runs {
		f.broke(run)
		f.checks = append(f.checks, simCheck{f.now.Add(crashLook), run.board, target})
	}
}

func (f *crashFleet) broke(run *simRun) {
	f.act(run.board, f.boards[run.board].Ended(f.now, Outcome{
		Request: run.attempt.Request, Attempt: run.attempt.ID, Kind: OutcomeBroken, Closed: true, Delivered: !f.now.Before(run.first) && !run.client.plain,
	}))
}

// step lets time pass.
func (f *crashFleet) step() {
	f.now = f.now.Add(crashStep)
	for _, target := range f.targets {
		f.runTarget(target)
	}
	f.gossip()
	for len(f.checks) > 0 && !f.checks[0].at.After(f.now) {
		l := f.checks[0]
		f.checks = f.checks[1:]
		if b := f.boards[l.board]; b.MayHaveCrashed(l.target.fake.addr) && !l.target.up {
			f.act(l.board, b.TargetCrashed(f.now, l.target.fake.addr))
		}
	}
	for len(f.retries) > 0 && !f.retries[0].at.After(f.now) {
		c := f.retries[0].client
		f.retries = f.retries[1:]
		f.send(c)
	}
	if f.now.Sub(f.listed) >= crashList {
		f.list()
	}
	for i, b := range f.boards {
		if (int(f.now.Sub(epoch)/crashStep)+i)%4 == 0 {
			f.act(i, b.Tick(f.now))
		}
	}
}

// runTarget lets a target's runs go on.
func (f *crashFleet) runTarget(target *crashTarget) {
	if !target.up {
		if !target.back.After(f.now) {
			target.up = true
			target.fake.incarnation++
		}
		return
	}
	for _, run := range append([]*simRun(nil), target.runs...) {
		b := f.boards[run.board]
		if !run.first.After(f.now) && !run.client.plain {
			f.act(run.board, b.FirstToken(f.now, run.attempt.Request, run.attempt.ID))
			b.Progress(f.now, run.attempt.Request, run.attempt.ID)
		}
		if run.due.After(f.now) {
			continue
		}
		if run.client.guilty {
			f.crash(target)
			return
		}
		f.drop(target, run)
		run.client.ran = true
		f.act(run.board, b.Ended(f.now, Outcome{Request: run.attempt.Request, Attempt: run.attempt.ID, Kind: OutcomeDone}))
	}
}

func (f *crashFleet) drop(target *crashTarget, run *simRun) {
	for i, r := range target.runs {
		if r == run {
			target.runs = append(target.runs[:i:i], target.runs[i+1:]...)
			return
		}
	}
}

// gossip brings what boards know to all others after the lag.
func (f *crashFleet) gossip() {
	for i, b := range f.boards {
		words, version := b.CrashesSince(f.now, f.cursors[i])
		if version > f.cursors[i] && len(words) > 0 {
			f.words = append(f.words, simUpdates{f.now.Add(f.lag), i, words})
		}
		f.cursors[i] = version
	}
	for len(f.words) > 0 && !f.words[0].at.After(f.now) {
		w := f.words[0]
		f.words = f.words[1:]
		for k := range w.words {
			w.words[k].Age += f.lag
		}
		for i, b := range f.boards {
			if i != w.from {
				f.act(i, b.TakeCrashes(f.now, w.words))
			}
		}
		// What was just told is not told back.
		for i, b := range f.boards {
			if i != w.from {
				_, f.cursors[i] = b.CrashesSince(f.now, f.cursors[i])
			}
		}
	}
}

// crashResult is what became of the clients.
type crashResult struct {
	// ends are the most targets that ended under one guilty request, late the sends of one too late.
	ends, late int
	// innocent counts the clients beside, answered those that got an answer, held those that were
	// held back, heldAfterRun those of them that had been answered before.
	innocent, answered, held, heldAfterRun int
}

func (f *crashFleet) result() (r crashResult) {
	for _, n := range f.ends {
		r.ends = max(r.ends, n)
	}
	for _, n := range f.late {
		r.late += n
	}
	for _, c := range f.all {
		if c.guilty {
			continue
		}
		r.innocent++
		if c.answered {
			r.answered++
		}
		if c.held {
			r.held++
		}
		if c.heldAfterRun {
			r.heldAfterRun++
		}
	}
	return r
}

// play runs the fleet with a trouble that is given each step.
func (f *crashFleet) play(trouble func(at time.Duration)) crashResult {
	for at := time.Duration(0); at < crashPlayTime; at += crashStep {
		for f.rng.Float64() < crashRate*crashStep.Seconds()/2 {
			c := f.newClient(false, cmp.Or(f.alike, fmt.Sprint("prompt ", len(f.all))))
			c.plain = f.alike != ""
			f.send(c)
		}
		trouble(at)
		f.step()
	}
	return f.result()
}

// every reports whether a step is one of those with a pause between them, from a moment on.
func every(at, from, pause time.Duration) bool { return at >= from && (at-from)%pause < crashStep }

// A request that ends each target that begins it is held back after three of them and what was under
// way, however large the fleet is and however its copies come, and those beside it are not.
func TestCrashFleetGuilty(t *testing.T) {
	for name, c := range map[string]struct {
		boards int
		lag    time.Duration
		// copies come at once each time, of so many guilty requests.
		copies, guilty int
		// ends bounds the targets that end under one.
		ends int
	}{
		"one node":                       {1, 0, 1, 1, 4},
		"8 nodes":                        {8, 30 * time.Millisecond, 1, 1, 5},
		"82 nodes":                       {82, 600 * time.Millisecond, 1, 1, 9},
		"195 nodes":                      {195, 600 * time.Millisecond, 1, 1, 9},
		"six copies at once at 8 nodes":  {8, 30 * time.Millisecond, 6, 1, 9},
		"two guilty at once":             {8, 30 * time.Millisecond, 1, 2, 6},
		"two guilty at once at 82 nodes": {82, 600 * time.Millisecond, 1, 2, 9},
		"two guilty, four copies each":   {8, 30 * time.Millisecond, 4, 2, 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				f := newCrashFleet(t, c.boards, c.lag, seed+1)
				var guilty []*simClient
				for i := range c.guilty {
					guilty = append(guilty, f.newClient(true, fmt.Sprint("guilty ", i)))
				}
				r := f.play(func(at time.Duration) {
					if !every(at, time.Second, crashCopies) {
						return
					}
					for range c.copies {
						for _, g := range guilty {
							f.send(g)
						}
					}
				})
				t.Logf("%s, seed %d: %+v", name, seed+1, r)
				require.LessOrEqual(t, r.ends, c.ends, "targets that ended under one request")
				require.Zero(t, r.late, "sends of a request that was to be held back")
				require.Zero(t, r.heldAfterRun, "requests that were held back after they were answered")
			}
		})
	}
}

// Targets that end, and connections that break, for other reasons hold nobody back.
func TestCrashFleetInnocent(t *testing.T) {
	for name, trouble := range map[string]func(f *crashFleet, at time.Duration){
		"herds of targets end": func(f *crashFleet, at time.Duration) {
			if every(at, time.Second, 2*time.Second) {
				for _, i := range f.rng.Perm(crashTargets)[:5] {
					f.crash(f.targets[i])
				}
			}
		},
		"one target after another ends": func(f *crashFleet, at time.Duration) {
			if every(at, time.Second, 200*time.Millisecond) {
				f.crash(f.targets[f.rng.IntN(crashTargets)])
			}
		},
		"connections are reset": func(f *crashFleet, at time.Duration) {
			if every(at, time.Second, 50*time.Millisecond) {
				target := f.targets[f.rng.IntN(crashTargets)]
				for _, run := range append([]*simRun(nil), target.runs...) {
					f.drop(target, run)
					f.broke(run)
					f.checks = append(f.checks, simCheck{f.now.Add(crashLook), run.board, target})
				}
			}
		},
		"targets end all the time": func(f *crashFleet, at time.Duration) {
			if every(at, time.Second, 100*time.Millisecond) {
				f.crash(f.targets[f.rng.IntN(crashTargets)])
			}
		},
		"copies of one request are answered all the time": func(f *crashFleet, at time.Duration) {
			f.alike = "the same prompt"
			if every(at, time.Second, 300*time.Millisecond) {
				f.crash(f.targets[f.rng.IntN(crashTargets)])
			}
		},
		"nothing": func(*crashFleet, time.Duration) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				f := newCrashFleet(t, 8, 30*time.Millisecond, seed+1)
				r := f.play(func(at time.Duration) { trouble(f, at) })
				t.Logf("%s, seed %d: %+v", name, seed+1, r)
				require.Zero(t, r.heldAfterRun)
				require.Zero(t, r.held)
			}
		})
	}
}
