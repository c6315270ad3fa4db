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
	programDir string
	outDir     string
	bounds     Bounds
	log        *slog.Logger
}

// Option changes a [Soak] at its construction.
type Option func(*Soak)

// WithOutput sets the folder in which failing runs leave their logs.
func WithOutput(dir string) Option { return func(s *Soak) { s.outDir = dir } }

// WithBounds sets the promises' bounds.
func WithBounds(b Bounds) Option { return func(s *Soak) { s.bounds = b } }

// WithLogger sets where progress is told.
func WithLogger(log *slog.Logger) Option { return func(s *Soak) { s.log = log } }

// New returns a soak of the programs in a folder.
func New(programs string, opts ...Option) *Soak {
	s := &Soak{programDir: programs, outDir: os.TempDir(), bounds: DefaultBounds, log: slog.New(slog.DiscardHandler)}
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
	Violations []Violation
	// Dir has the logs of a run that failed.
	Dir string
}

// checkInterval is the time between two looks at the promises while a plan is played,
// startupTimeout how long the first nodes may take to be ready.
const (
	checkInterval  = 2 * time.Second
	startupTimeout = 20 * time.Second
)

// Run plays a plan and returns what came of it. An error says that it could not be played.
func (s *Soak) Run(ctx context.Context, plan Plan) (Result, error) {
	dir, err := os.MkdirTemp(s.outDir, fmt.Sprintf("seed-%d-", plan.Seed))
	if err != nil {
		return Result{}, errs.Wrap(err)
	}
	cl, err := newCluster(s.programDir+"/pathhead-node", dir, s.bounds, plan.Size)
	if err != nil {
		return Result{}, err
	}
	defer cl.close()
	if err := cl.awaitReady(ctx); err != nil {
		return Result{}, errs.Errorf("%s: %w", dir, err)
	}
	seen := s.execute(ctx, cl, plan)
	rec := cl.snapshot()
	rec.Finished = true
	cl.close()
	if ctx.Err() != nil {
		return Result{}, errs.Errorf("seed %d was given up: %w", plan.Seed, ctx.Err())
	}
	res := Result{Plan: plan, Record: rec, Violations: Verify(rec), Dir: dir}
	// What broke a promise on the way may look whole at the end.
	for _, b := range seen {
		if !slices.ContainsFunc(res.Violations, func(at Violation) bool { return at.Guarantee == b.Guarantee }) {
			res.Violations = append(res.Violations, b)
		}
	}
	return res, s.saveArtifacts(&res)
}

// awaitReady waits until all nodes take callers.
func (s *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	c := probeClient()
	for _, n := range s.allNodes() {
		for !n.ready(ctx, c) {
			if ctx.Err() != nil {
				return errs.Errorf("%s is not ready", n.name)
			}
			wait(ctx, restartDelay)
		}
	}
	return nil
}

// execute has callers call while the plan's steps come, and for a while after them. It
// returns the first breach of each promise that was seen on the way.
func (s *Soak) execute(ctx context.Context, cl *cluster, plan Plan) []Violation {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	b := &balancer{cluster: cl, misses: make(map[string]int)}
	var running sync.WaitGroup
	running.Go(func() { b.run(calling) })
	for n := range plan.Size.Callers {
		running.Go(func() { newCaller(cl, b, fmt.Sprintf("c%d", n)).run(calling) })
	}
	var seen []Violation
	running.Go(func() { seen = s.checkPeriodically(calling, cl, plan.Seed) })
	begun := time.Now()
	for _, step := range plan.Steps {
		wait(ctx, time.Until(begun.Add(step.At)))
		if ctx.Err() == nil {
			cl.steps.Go(func() { cl.apply(ctx, step) })
		}
	}
	wait(ctx, time.Until(begun.Add(plan.Length)))
	cl.steps.Wait()
	cl.update(func(r *Record) { r.FaultsEnded = time.Now() })
	wait(ctx, plan.Tail)
	stop()
	running.Wait()
	return seen
}

// checkPeriodically judges while the plan is played, tells the first breach of each promise and returns them.
func (s *Soak) checkPeriodically(ctx context.Context, cl *cluster, seed uint64) []Violation {
	var seen []Violation
	for ctx.Err() == nil {
		wait(ctx, checkInterval)
		rec := cl.snapshot()
		for _, b := range Verify(rec) {
			if slices.ContainsFunc(seen, func(at Violation) bool { return at.Guarantee == b.Guarantee }) {
				continue
			}
			seen = append(seen, b)
			s.log.Warn("a promise is broken", "seed", seed, "promise", b.Guarantee, "after", b.At.Sub(rec.Start), "subject", b.Subject, "detail", b.Detail)
		}
	}
	return seen
}
