package soak

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

// Soak plays plans.
type Soak struct {
	programs string
	out      string
	bounds   Bounds
	log      *slog.Logger
}

// Option changes a [Soak] at its construction.
type Option func(*Soak)

// WithOutput sets the folder in which failing runs leave their logs.
func WithOutput(dir string) Option { return func(s *Soak) { s.out = dir } }

// WithBounds sets the promises' bounds.
func WithBounds(b Bounds) Option { return func(s *Soak) { s.bounds = b } }

// WithLogger sets where progress is told.
func WithLogger(log *slog.Logger) Option { return func(s *Soak) { s.log = log } }

// New returns a soak of the programs in a folder.
func New(programs string, opts ...Option) *Soak {
	s := &Soak{programs: programs, out: os.TempDir(), bounds: DefaultBounds, log: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Result is what came of a plan.
type Result struct {
	Plan   Plan
	Record Record
	// Breaches are the promises that were broken, none if all is well.
	Breaches []Breach
	// Dir has the logs of a run that failed.
	Dir string
}

// judgeEvery is the time between two looks at the promises while a plan is played,
// readyWait how long the first nodes may take to be ready.
const (
	judgeEvery = 2 * time.Second
	readyWait  = 20 * time.Second
)

// Play plays a plan and returns what came of it. An error says that it could not be played.
func (s *Soak) Play(ctx context.Context, plan Plan) (Result, error) {
	dir, err := os.MkdirTemp(s.out, fmt.Sprintf("seed-%d-", plan.Seed))
	if err != nil {
		return Result{}, errs.Wrap(err)
	}
	st, err := newSite(s.programs+"/pathhead-node", dir, s.bounds, plan.Size)
	if err != nil {
		return Result{}, err
	}
	defer st.close()
	if err := st.awaitReady(ctx); err != nil {
		return Result{}, errs.Errorf("%s: %w", dir, err)
	}
	seen := s.drive(ctx, st, plan)
	rec := st.snapshot()
	rec.Over = true
	st.close()
	if ctx.Err() != nil {
		return Result{}, errs.Errorf("seed %d was given up: %w", plan.Seed, ctx.Err())
	}
	res := Result{Plan: plan, Record: rec, Breaches: Judge(rec), Dir: dir}
	// What broke a promise on the way may look whole at the end.
	for _, b := range seen {
		if !slices.ContainsFunc(res.Breaches, func(at Breach) bool { return at.Promise == b.Promise }) {
			res.Breaches = append(res.Breaches, b)
		}
	}
	return res, s.keep(&res)
}

// awaitReady waits until all nodes take callers.
func (s *site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	c := client()
	for _, n := range s.allNodes() {
		for !n.ready(ctx, c) {
			if ctx.Err() != nil {
				return errs.Errorf("%s is not ready", n.name)
			}
			wait(ctx, againTime)
		}
	}
	return nil
}

// drive has callers call while the plan's steps come, and for a while after them. It
// returns the first breach of each promise that was seen on the way.
func (s *Soak) drive(ctx context.Context, st *site, plan Plan) []Breach {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	b := &balancer{site: st, missed: make(map[string]int)}
	var running sync.WaitGroup
	running.Go(func() { b.run(calling) })
	for n := range plan.Size.Callers {
		running.Go(func() { newCaller(st, b, fmt.Sprintf("c%d", n)).run(calling) })
	}
	var seen []Breach
	running.Go(func() { seen = s.follow(calling, st, plan.Seed) })
	begun := time.Now()
	for _, step := range plan.Steps {
		wait(ctx, time.Until(begun.Add(step.At)))
		if ctx.Err() == nil {
			st.steps.Go(func() { st.apply(ctx, step) })
		}
	}
	wait(ctx, time.Until(begun.Add(plan.Length)))
	st.steps.Wait()
	st.write(func(r *Record) { r.Calm = time.Now() })
	wait(ctx, plan.Tail)
	stop()
	running.Wait()
	return seen
}

// follow judges while the plan is played, tells the first breach of each promise and returns them.
func (s *Soak) follow(ctx context.Context, st *site, seed uint64) []Breach {
	var seen []Breach
	for ctx.Err() == nil {
		wait(ctx, judgeEvery)
		rec := st.snapshot()
		for _, b := range Judge(rec) {
			if slices.ContainsFunc(seen, func(at Breach) bool { return at.Promise == b.Promise }) {
				continue
			}
			seen = append(seen, b)
			s.log.Warn("a promise is broken", "seed", seed, "promise", b.Promise, "after", b.At.Sub(rec.Begun), "subject", b.Subject, "detail", b.Detail)
		}
	}
	return seen
}
