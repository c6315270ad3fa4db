// Command pathhead-soak runs fault plans, generated from seeds, against real nodes
// and checks their guarantees during the run.
package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/internal/soak"
)

type flags struct {
	Version  kong.VersionFlag `help:"Print the version and end."`
	Programs string           `help:"Folder with pathhead-node." default:"target" type:"existingdir" env:"PATHHEAD_BIN"`
	Seed     uint64           `help:"First seed." default:"1"`
	Seeds    int              `help:"Number of seeds, one after the other." default:"1"`
	Parallel int              `help:"Plans played at the same time." default:"1"`
	For      time.Duration    `help:"How long faults come; calls go on for 16s after them." default:"40s"`
	Nodes    int              `help:"Nodes, each a process of its own." default:"5"`
	Engines  int              `help:"Targets that serve a model." default:"9"`
	Callers  int              `help:"Callers, each with two calls under way." default:"10"`
	Plans    []string         `help:"Play plans from files instead of seeds." name:"plan" type:"existingfile"`
	Draw     bool             `help:"Print the plans and end."`
	Out      string           `help:"Folder for what failing plans leave." default:"out/soak"`
	Report   string           `help:"File that the report is added to, besides standard output."`
}

// plans returns the plans to run, from files or else from seeds.
func (f *flags) plans() ([]soak.Plan, error) {
	var out []soak.Plan
	for _, name := range f.Plans {
		plan, err := soak.ReadPlan(name)
		if err != nil {
			return nil, err
		}
		out = append(out, plan)
	}
	if len(out) > 0 {
		return out, nil
	}
	size := soak.DefaultSize
	size.Nodes, size.Engines, size.Callers = f.Nodes, f.Engines, f.Callers
	for n := range f.Seeds {
		out = append(out, soak.GeneratePlan(f.Seed+uint64(n), f.For, size))
	}
	return out, nil
}

// Run runs the plans and returns an error if a guarantee was violated.
func (f *flags) Run(ctx context.Context) error {
	plans, err := f.plans()
	if err != nil {
		return err
	}
	if f.Draw {
		return errs.Wrap(json.NewEncoder(os.Stdout).Encode(plans))
	}
	if err := os.MkdirAll(f.Out, 0o755); err != nil {
		return errs.Wrap(err)
	}
	var report io.Writer = os.Stdout
	if f.Report != "" {
		file, err := os.OpenFile(f.Report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errs.Wrap(err)
		}
		defer file.Close()
		report = io.MultiWriter(os.Stdout, file)
	}
	s := soak.New(f.Programs, soak.WithOutput(f.Out), soak.WithLogger(slog.New(slog.NewTextHandler(os.Stderr, nil))))
	return runPlans(ctx, s, plans, f.Parallel, report)
}

// runPlans runs the plans, at most parallel of them at the same time.
func runPlans(ctx context.Context, s *soak.Soak, plans []soak.Plan, parallel int, report io.Writer) error {
	var (
		mu      sync.Mutex
		workers sync.WaitGroup
		faults  errs.Group
		next    = make(chan soak.Plan)
	)
	for range max(1, parallel) {
		workers.Go(func() {
			for plan := range next {
				res, err := s.Run(ctx, plan)
				mu.Lock()
				if err == nil {
					res.Write(report)
				}
				if len(res.Violations) > 0 {
					err = errs.Errorf("seed %d: %d guarantees violated", plan.Seed, len(res.Violations))
				}
				faults.Add(err)
				mu.Unlock()
			}
		})
	}
	for _, plan := range plans {
		if ctx.Err() == nil {
			next <- plan
		}
	}
	close(next)
	workers.Wait()
	return faults.Err()
}

func main() {
	var f flags
	kctx := cli.Parse(&f, "Runs fault plans, generated from seeds, against real nodes and checks their guarantees to callers and targets.")
	ctx, stop := cli.SignalContext()
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(); err != nil {
		cli.Exit(cli.ExitFailed, err)
	}
}
