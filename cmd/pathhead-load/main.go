// Command pathhead-load sends reproducible workloads, generated from a seed, to
// routers and writes reports.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/internal/load"
)

type flags struct {
	Version kong.VersionFlag `help:"Print the version and end."`
	Play    playCmd          `cmd:"" help:"Play a workload and write a report."`
	Ask     askCmd           `cmd:"" help:"Send one request with a long nested prompt and print its answer."`
	Call    callCmd          `cmd:"" help:"Send a call to a plain service, with an idempotency key."`
	Compare compareCmd       `cmd:"" help:"Measure what a router adds to an engine's answer, side by side."`
	Table   tableCmd         `cmd:"" help:"Print reports as a Markdown table."`
	Plot    plotCmd          `cmd:"" help:"Draw reports as an SVG."`
	Ports   portsCmd         `cmd:"" help:"Print free ports of the loopback address."`
}

type playCmd struct {
	Doors    []netip.AddrPort `help:"Callers' doors of the routers." required:"" sep:","`
	Workload string           `help:"Workload: yunfeng-rush, yunfeng-calm, yunfeng-surge, guild-signup or guild-reports." default:"yunfeng-rush"`
	Duration time.Duration    `help:"Length of the run." default:"20s"`
	Scale    float64          `help:"Factor on all rates." default:"1"`
	Ramp     float64          `help:"Grow all rates linearly by this factor." default:"0"`
	Skip     time.Duration    `help:"Leave the first part out of the report."`
	Weights  string           `help:"Weights whose answers are right; empty checks none." default:"w1"`
	Retries  int              `help:"Repeats of a request that was refused as not run." default:"0"`
	Seed     uint64           `help:"Seed of the workload." default:"1"`
	Label    string           `help:"Name of the run in reports." default:"run"`
	Results  string           `help:"File for each request's result (JSON lines)."`
	Out      string           `help:"File that the report (JSON) is added to; standard output without one."`
}

func (c *playCmd) Run(ctx context.Context) error {
	w, ok := load.Workloads(c.Duration, c.Scale)[c.Workload]
	if !ok {
		return errs.Errorf("unknown workload %q", c.Workload)
	}
	w.Ramp = c.Ramp
	client := load.NewClient(c.Doors, c.Weights, c.Retries)
	defer client.Close()
	arrivals := w.Arrivals(c.Seed)
	results := client.Play(ctx, arrivals)
	if err := c.writeResults(results); err != nil {
		return err
	}
	return c.write(load.Summarise(c.Label, w, c.Seed, arrivals, results, c.Skip))
}

func (c *playCmd) writeResults(results []load.Result) error {
	if c.Results == "" {
		return nil
	}
	f, err := os.Create(c.Results)
	if err != nil {
		return errs.Wrap(err)
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return errs.Wrap(err)
		}
	}
	return nil
}

func (c *playCmd) write(rep load.Report) error {
	out := os.Stdout
	if c.Out != "" {
		f, err := os.OpenFile(c.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errs.Wrap(err)
		}
		defer f.Close()
		out = f
	}
	return errs.Wrap(json.NewEncoder(out).Encode(rep))
}

type askCmd struct {
	Doors     []netip.AddrPort `help:"Callers' doors of the routers." required:"" sep:","`
	Workload  string           `help:"Workload whose prompts are used." default:"yunfeng-rush"`
	Count     int              `help:"Number of requests." default:"1"`
	Seed      uint64           `help:"Seed of the prompts." default:"1"`
	MaxTokens int              `help:"Length of the answer." default:"12"`
}

func (c *askCmd) Run(ctx context.Context) error {
	w, ok := load.Workloads(time.Minute, 1)[c.Workload]
	if !ok {
		return errs.Errorf("unknown workload %q", c.Workload)
	}
	client := load.NewClient(c.Doors, "w1", 1)
	defer client.Close()
	for _, a := range w.Arrivals(c.Seed)[:c.Count] {
		a.MaxTokens = c.MaxTokens
		r := client.Do(ctx, a)
		fmt.Printf("request %s of %s: status %d, first token %s, whole answer %s, %d of %d prompt tokens cached\n  answer: %s\n",
			r.Request, r.Org, r.Status, r.FirstToken.Round(100*time.Microsecond), r.Total.Round(100*time.Microsecond), r.Cached, r.Prompt, r.Text)
		if !r.OK() {
			return errs.Errorf("request %s failed: status %d, code %q, truncated %t, wrong answer %t", r.Request, r.Status, r.Code, r.Cut, r.Wrong)
		}
	}
	return nil
}

type compareCmd struct {
	Door   netip.AddrPort `help:"Callers' door of a router." required:""`
	Engine netip.AddrPort `help:"Address of an engine." required:""`
	Count  int            `help:"Number of pairs." default:"2000"`
}

func (c *compareCmd) Run(ctx context.Context) error {
	direct, routed, err := load.Compare(ctx, c.Engine, c.Door, c.Count)
	if err != nil {
		return err
	}
	fmt.Printf("%d pairs; first token in ms, p50 and p99: direct %.3f %.3f, through the router %.3f %.3f, added %.3f %.3f\n",
		c.Count, direct.P50, direct.P99, routed.P50, routed.P99, routed.P50-direct.P50, routed.P99-direct.P99)
	return nil
}

type callCmd struct {
	Doors []netip.AddrPort `help:"Callers' doors of the routers." required:"" sep:","`
	Org   string           `name:"organisation" help:"Organisation that calls." required:""`
	Path  string           `help:"Path of the call." required:""`
	Key   string           `help:"Idempotency key." required:""`
	Count int              `help:"How often the same call is sent, to the doors in turn." default:"1"`
}

func (c *callCmd) Run(ctx context.Context) error {
	for i := range c.Count {
		door := c.Doors[i%len(c.Doors)]
		reply, err := load.Call(ctx, door, load.Org{Name: c.Org}, c.Path, c.Key)
		if err != nil {
			return err
		}
		fmt.Printf("door %s: %s\n", door, reply)
	}
	return nil
}

type tableCmd struct {
	Files []string `arg:"" help:"Files of reports." type:"existingfile"`
}

func (c *tableCmd) Run() error {
	reports, err := load.Read(c.Files...)
	if err != nil {
		return err
	}
	return load.Markdown(os.Stdout, reports)
}

type plotCmd struct {
	Files []string `arg:"" help:"Files of reports." type:"existingfile"`
	Out   string   `help:"SVG file to write." default:"plot.svg"`
}

func (c *plotCmd) Run() error {
	reports, err := load.Read(c.Files...)
	if err != nil {
		return err
	}
	return load.Plot(c.Out, reports)
}

type portsCmd struct {
	Count int `arg:"" help:"Number of ports."`
}

func (c *portsCmd) Run() error {
	ports, err := load.FreePorts(c.Count)
	for _, port := range ports {
		fmt.Println(port)
	}
	return err
}

func main() {
	var f flags
	kctx := cli.Parse(&f, "Sends reproducible workloads, generated from a seed, to routers and writes reports.")
	ctx, stop := cli.SignalContext()
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(); err != nil {
		cli.Exit(cli.ExitFailed, err)
	}
}
