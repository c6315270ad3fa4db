// Command pathheadctl applies and shows configurations and queries running
// processes for their status and events.
package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pathhead/pathhead/ctl"
	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

type flags struct {
	cli.CredentialFlags
	Version   kong.VersionFlag `help:"Print the version and end."`
	Table     string           `help:"URL of the table service." env:"PATHHEAD_TABLE"`
	TableName string           `help:"Name of the table." default:"pathhead" env:"PATHHEAD_TABLE_NAME"`
	Objects   string           `help:"URL of the object store." env:"PATHHEAD_OBJECTS"`
	Bucket    string           `help:"Bucket of the object store." default:"pathhead" env:"PATHHEAD_BUCKET"`
	VMs       string           `name:"vms" help:"URL of the VM list, against which selectors are tried." env:"PATHHEAD_VMS"`
	Doors     []netip.AddrPort `help:"Operators' doors to ask; others are found through them." env:"PATHHEAD_DOORS" sep:","`
	Output    ctl.Output       `short:"o" help:"Form of the output: table or json." enum:"table,json" default:"table"`
	Timeout   time.Duration    `help:"Longest time of a command." default:"30s"`

	Apply    applyCmd    `cmd:"" help:"Offer a file as the next revision and wait until it is in force."`
	Check    checkCmd    `cmd:"" help:"Check a file and print its faults with their lines."`
	Diff     diffCmd     `cmd:"" help:"Show how a file differs from the newest revision."`
	Get      getCmd      `cmd:"" help:"Print a revision."`
	History  historyCmd  `cmd:"" help:"List accepted revisions."`
	Status   statusCmd   `cmd:"" help:"Show the processes and targets."`
	Explain  explainCmd  `cmd:"" help:"Show why a request went where it did."`
	Timeline timelineCmd `cmd:"" help:"Show the events of all processes in causal order."`
	Losses   lossesCmd   `cmd:"" help:"Count from logs the requests that were not answered in time, by cause."`
	View     viewCmd     `cmd:"" help:"Show how nodes see the fleet, how old their views are and where they differ."`
	Held     heldCmd     `cmd:"" help:"List the requests under which targets ended, and which of them are held back."`
	Release  releaseCmd  `cmd:"" help:"Have the fleet hold a request back no more."`
	Hash     hashCmd     `cmd:"" help:"Print the hash of an API key read from standard input."`
}

func (f *flags) tool() (*ctl.Tool, error) {
	cred := wire.Credentials{AccessKey: f.AccessKey, SecretKey: f.SecretKey, Region: f.Region}
	opts := []ctl.Option{
		ctl.WithStores(wire.NewDynamoTable(f.Table, f.TableName, cred), wire.NewS3Objects(f.Objects, f.Bucket, cred)),
		ctl.WithDoors(f.Doors...),
	}
	if f.VMs != "" {
		opts = append(opts, ctl.WithVMs(wire.NewVMList(f.VMs)))
	}
	_, client, err := f.PeerTLS()
	if err != nil {
		return nil, err
	}
	if client != nil {
		opts = append(opts, ctl.WithTLS(client))
	}
	return ctl.New(os.Stdout, f.Output, opts...), nil
}

type applyCmd struct {
	File   string        `arg:"" help:"Configuration file (YAML)." type:"existingfile"`
	Author string        `help:"Who applies it." env:"USER" default:"operator"`
	DryRun bool          `help:"Show the difference and end."`
	Base   int64         `help:"Revision that the file was made from; -1 takes the newest." default:"-1"`
	Wait   time.Duration `help:"Longest wait until it is in force everywhere." default:"10s"`
}

func (c *applyCmd) Run(ctx context.Context, t *ctl.Tool) error {
	return t.Apply(ctx, ctl.ApplyOptions{File: c.File, Author: c.Author, DryRun: c.DryRun, Base: c.Base, Wait: c.Wait})
}

type checkCmd struct {
	File string `arg:"" help:"Configuration file (YAML)." type:"existingfile"`
}

func (c *checkCmd) Run(t *ctl.Tool) error { return t.Check(c.File) }

type diffCmd struct {
	File string `arg:"" help:"Configuration file (YAML)." type:"existingfile"`
}

func (c *diffCmd) Run(ctx context.Context, t *ctl.Tool) error { return t.Diff(ctx, c.File) }

type getCmd struct {
	Revision int64 `arg:"" optional:"" help:"Revision; the newest without one."`
}

func (c *getCmd) Run(ctx context.Context, t *ctl.Tool) error { return t.Get(ctx, c.Revision) }

type historyCmd struct {
	After int64 `help:"List revisions after this one."`
}

func (c *historyCmd) Run(ctx context.Context, t *ctl.Tool) error { return t.History(ctx, c.After) }

type statusCmd struct{}

func (statusCmd) Run(ctx context.Context, t *ctl.Tool) error { return t.Status(ctx) }

type explainCmd struct {
	Request string   `arg:"" help:"Request id, as in the header X-Request-Id of its answer."`
	Logs    []string `help:"Read these JSON logs in place of asking processes; - is standard input." placeholder:"FILE" sep:","`
}

func (c *explainCmd) Run(ctx context.Context, t *ctl.Tool) error {
	return t.Explain(ctx, c.Request, c.Logs)
}

type timelineCmd struct {
	Request string           `help:"Only this request."`
	Org     string           `name:"organisation" help:"Only this organisation."`
	Target  string           `help:"Only this target."`
	Since   time.Duration    `help:"Only the last while, such as 5m."`
	Extra   []netip.AddrPort `help:"Further doors with events, such as the stand-ins'." sep:","`
	Logs    []string         `help:"Read these JSON logs in place of asking processes; - is standard input." placeholder:"FILE" sep:","`
}

func (c *timelineCmd) Run(ctx context.Context, t *ctl.Tool) error {
	f := event.Filter{Request: c.Request, Org: c.Org, Target: c.Target}
	if c.Since > 0 {
		f.Since = time.Now().Add(-c.Since)
	}
	return t.Timeline(ctx, f, c.Extra, c.Logs)
}

type lossesCmd struct {
	Logs []string `arg:"" help:"JSON logs of all nodes; - is standard input." placeholder:"FILE"`
	By   string   `help:"What to count by besides the cause: cause, organisation, route, size, process, target or second." default:"cause"`
}

func (c *lossesCmd) Run(t *ctl.Tool) error { return t.Losses(c.Logs, c.By) }

type viewCmd struct {
	Nodes []netip.AddrPort `arg:"" help:"Addresses of the nodes' counters."`
	Path  string           `help:"Path of the counters." default:"/metrics"`
}

func (c *viewCmd) Run(ctx context.Context, t *ctl.Tool) error { return t.View(ctx, c.Nodes, c.Path) }

type heldCmd struct {
	Doors []netip.AddrPort `arg:"" help:"Operators' doors of the processes to ask; for nodes, the addresses of their counters."`
}

func (c *heldCmd) Run(ctx context.Context, t *ctl.Tool) error { return t.Held(ctx, c.Doors) }

type releaseCmd struct {
	Fingerprint route.Fingerprint `arg:"" help:"The request's fingerprint, as 'held' and event 221 name it."`
	Doors       []netip.AddrPort  `arg:"" help:"Operators' doors of some processes; the first that knows the request tells the others."`
}

func (c *releaseCmd) Run(ctx context.Context, t *ctl.Tool) error {
	return t.Release(ctx, c.Fingerprint, c.Doors)
}

type hashCmd struct{}

func (hashCmd) Run() error {
	var key string
	if _, err := fmt.Scanln(&key); err != nil {
		return err
	}
	fmt.Printf("%x\n", sha256.Sum256([]byte(strings.TrimSpace(key))))
	return nil
}

func main() {
	var f flags
	kctx := cli.Parse(&f, "Applies and shows configurations, and queries running processes.")
	tool, err := f.tool()
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	ctx, stop := cli.SignalContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(tool); err != nil {
		cli.Exit(exitCode(err), err)
	}
}

// exitCode returns the exit code for an error, by which scripts distinguish a
// conflict and an unknown outcome from other failures.
func exitCode(err error) int {
	switch {
	case errors.Is(err, fleet.ErrSuperseded):
		return cli.ExitConflict
	case errors.Is(err, fleet.ErrOutcomeUnknown):
		return cli.ExitUnknown
	}
	return cli.ExitFailed
}
