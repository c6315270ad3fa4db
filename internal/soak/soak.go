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

// Soak executes plans against real node processes.
type Soak struct {
	programDir string
	outDir     string
	bounds     Bounds
	log        *slog.Logger
}

// Option configures a [Soak].
type Option func(*Soak)

// WithOutput sets the folder to which failed runs write their logs.
func WithOutput(dir string) Option { return func(s *Soak) { s.outDir = dir } }

// WithBounds sets the bounds of the guarantees.
func WithBounds(b Bounds) Option { return func(s *Soak) { s.bounds = b } }

// WithLogger sets the logger for violations that are found while a plan runs.
func WithLogger(log *slog.Logger) Option { return func(s *Soak) { s.log = log } }

// New returns a [Soak] that runs the programs in a folder.
func New(programs string, opts ...Option) *Soak {
	s := &Soak{programDir: programs, outDir: os.TempDir(), bounds: DefaultBounds, log: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Result is the result of a plan.
type Result struct {
	Plan   Plan
	Record Record
	// Violations are the violations of guarantees that were found.
	Violations []Violation
	// Dir is the folder with the logs of a failed run, and empty for a successful one.
	Dir string
}

// checkInterval is the time between two checks while a plan runs. startupTimeout bounds the
// time until the initial nodes are ready.
const (
	checkInterval  = 2 * time.Second
	startupTimeout = 20 * time.Second
)

// Run executes a plan and checks the record. It returns an error only if the plan could not
// be executed; violations are part of the result.
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
		return Result{}, errs.Errorf("seed %d: cancelled: %w", plan.Seed, ctx.Err())
	}
	res := Result{Plan: plan, Record: rec, Violations: Verify(rec), Dir: dir}
	// A violation that was found while the plan ran may not show in the final record.
	for _, b := range seen {
		if !slices.ContainsFunc(res.Violations, func(at Violation) bool { return at.Guarantee == b.Guarantee }) {
			res.Violations = append(res.Violations, b)
		}
	}
	return res, s.saveArtifacts(&res)
}

// awaitReady waits until all nodes are ready for callers.
func (s *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	c := probeClient()
	for _, n := range s.allNodes() {
		for !n.ready(ctx, c) {
			if ctx.Err() != nil {
				return errs.Errorf("%s is not ready: %w", n.name, ctx.Err())
			}
			wait(ctx, restartDelay)
		}
	}
	return nil
}

// execute runs the callers and the plan's steps, and lets the callers continue for the plan's
// tail. It returns the first violation of each guarantee that was found meanwhile.
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

// checkPeriodically checks the record while the plan runs. It logs and returns the first
// violation of each guarantee.
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
			s.log.Warn("guarantee violated", "seed", seed, "promise", b.Guarantee, "after", b.At.Sub(rec.Start), "subject", b.Subject, "detail", b.Detail)
		}
	}
	return seen
}
