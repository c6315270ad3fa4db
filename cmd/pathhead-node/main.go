// Command pathhead-node runs a pathhead node on a VM of the platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/internal/clock"
	"github.com/pathhead/pathhead/node"
	"github.com/pathhead/pathhead/platform"
	"github.com/pathhead/pathhead/route"
)

type flags struct {
	cli.CommonFlags
	Settings    string   `help:"The platform's settings file." env:"PATHHEAD_CONFIG" placeholder:"FILE"`
	Placement   string   `help:"Placement policy: predict, or a baseline for measurements: random, round-robin, least-load, prefix-hash." default:"predict" env:"PATHHEAD_PLACEMENT"`
	MetricsPort uint16   `help:"Port of the counters on the VM's address; 0 for none." default:"0" env:"PATHHEAD_METRICS_PORT"`
	SmallFleet  int      `help:"Size of fleet up to which all nodes talk to each other and read the store; in a larger one a few relay for the others." default:"16" env:"PATHHEAD_SMALL_FLEET"`
	Without     []string `help:"Mechanisms to switch off for an experiment." env:"PATHHEAD_WITHOUT" placeholder:"NAME"`
	Mechanisms  bool     `help:"Print the mechanisms that can be switched off, and end."`
	cli.CrashFlags
	MetricsPath string `help:"Path of the counters." default:"/metrics" env:"PATHHEAD_METRICS_PATH"`
}

func main() {
	var f flags
	cli.Parse(&f, "Routes callers' requests from a VM of the platform; the node that holds the lease updates targets' weights.")
	if f.Mechanisms {
		fmt.Println(strings.Join(route.MechanismNames(), "\n"))
		return
	}
	if f.Settings == "" {
		cli.Exit(cli.ExitUsage, errors.New("--settings or PATHHEAD_CONFIG must name the platform's settings file"))
	}
	set, err := platform.ReadSettings(f.Settings)
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	placer, ok := route.Placers()[f.Placement]
	if !ok {
		cli.Exit(cli.ExitUsage, fmt.Errorf("unknown placement policy %q", f.Placement))
	}
	off, err := route.ParseMechanisms(f.Without)
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	counters := metrics.NewSet()
	countCall := func(name string) {
		counters.GetOrCreateCounter(fmt.Sprintf("pathhead_platform_calls_total{call=%q}", name)).Inc()
	}
	dropped := counters.NewCounter("pathhead_log_lines_dropped_total")
	log, out := f.StdoutLogger(set.Name, func(n int) { dropped.Add(n) })
	defer out.Close()
	now, counts := clock.BootTime()
	if !counts {
		log.Warn("this system has no clock that includes the time the machine is suspended; do not suspend it")
	}
	opts := []node.Option{node.WithClock(now), node.WithSmallFleet(f.SmallFleet), node.WithLogger(log), node.WithMetricSet(counters), node.WithPlacement(placer), node.WithoutMechanisms(off), node.WithCrashSettings(f.CrashSettings())}
	if f.MetricsPort > 0 {
		opts = append(opts, node.WithMetrics(netip.AddrPortFrom(set.Callers.Addr(), f.MetricsPort), f.MetricsPath))
	}
	n, err := node.New(set, platform.NewStore(set.Store, countCall, platform.WithClock(now)), platform.Protocol{}, platform.NewEngines(countCall, platform.WithClock(now)), opts...)
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	err = f.Run(func(ctx context.Context) error {
		cli.WatchFile(ctx, f.Settings, func() { reload(n, f.Settings) })
		return n.Run(ctx)
	})
	if err != nil {
		log.Error("node failed", "error", err.Error())
		out.Close()
		cli.Exit(cli.ExitFailed, err)
	}
}

// reload applies changed settings to the node, or records why they are rejected.
func reload(n *node.Node, file string) {
	set, err := platform.ReadSettings(file)
	if err == nil {
		err = n.Reload(set)
	}
	if err != nil {
		n.RejectSettings(err)
	}
}
