// Command pathhead-standin runs a fake of one external system, for tests and the
// demonstration.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/internal/standin"
)

type flags struct {
	cli.CommonFlags
	Listen netip.AddrPort `help:"Address to serve on." required:""`
	Name   string         `help:"Name in events." default:"standin"`
	Seed   uint64         `help:"Seed of random faults." default:"1"`

	Engine  engineCmd  `cmd:"" help:"A model engine."`
	Service serviceCmd `cmd:"" help:"A plain service."`
	Kept    keptCmd    `cmd:"" help:"A store of kept KV cache."`
	Table   tableCmd   `cmd:"" help:"The table service."`
	Objects objectsCmd `cmd:"" help:"The object store."`
	VMs     vmsCmd     `cmd:"" name:"vms" help:"The VM list."`
}

type engineCmd struct {
	Model         string        `help:"Model loaded at the start."`
	Weights       string        `help:"Weights of that model." default:"w1"`
	CacheBlocks   int           `help:"Cache size in blocks of 16 tokens." default:"4096"`
	Slots         int           `help:"Requests that run at once." default:"8"`
	PrefillRate   float64       `help:"Prompt tokens computed per second." default:"8000"`
	DecodeTime    time.Duration `help:"Time per generated token." default:"5ms"`
	LoadTime      time.Duration `help:"Time to load weights." default:"2s"`
	ReportLag     time.Duration `help:"Age of the load that is reported."`
	EventLag      time.Duration `help:"Delay of cache events."`
	EventLoss     float64       `help:"Share of cache events lost (0 to 1)."`
	ChecksExpect  bool          `help:"Refuse a request that expects another incarnation or other weights." default:"true" negatable:""`
	ChecksFencing bool          `help:"Refuse an order with an old fencing number."`
	CrashOn       string        `help:"End at once when a prompt with this text begins to run." placeholder:"TEXT"`
}

func (c *engineCmd) Run(f *flags, rec *event.Recorder) error {
	e := standin.NewEngine(standin.EngineConfig{
		Name: f.Name, Model: c.Model, Weights: c.Weights, CacheBlocks: c.CacheBlocks, Slots: c.Slots,
		PrefillRate: c.PrefillRate, DecodeTime: c.DecodeTime, LoadTime: c.LoadTime, ReportLag: c.ReportLag,
		EventLag: c.EventLag, EventLoss: c.EventLoss, ChecksExpect: c.ChecksExpect, ChecksFencing: c.ChecksFencing,
		CrashOn: c.CrashOn, Crash: func() { os.Exit(cli.ExitFailed) }, Seed: f.Seed,
	}, rec)
	return serve(f, e.Handler(), func(ctx context.Context) {
		e.Drain()
		e.WaitIdle(ctx)
	})
}

type serviceCmd struct {
	Delay time.Duration `help:"Time a call takes." default:"5ms"`
}

func (c *serviceCmd) Run(f *flags, rec *event.Recorder) error {
	s := standin.NewService(standin.ServiceConfig{Name: f.Name, Delay: c.Delay, Seed: f.Seed}, rec)
	return serve(f, s.Handler(), func(context.Context) { s.Drain() })
}

type keptCmd struct {
	Limit int `help:"Exports kept." default:"256"`
}

func (c *keptCmd) Run(f *flags, _ *event.Recorder) error {
	return serve(f, standin.NewKVStore(c.Limit, f.Seed).Handler(), nil)
}

type tableCmd struct{}

func (tableCmd) Run(f *flags, _ *event.Recorder) error {
	return serve(f, standin.NewTable(f.Seed).Handler(), nil)
}

type objectsCmd struct{}

func (objectsCmd) Run(f *flags, _ *event.Recorder) error {
	return serve(f, standin.NewObjects(f.Seed).Handler(), nil)
}

type vmsCmd struct {
	Lag time.Duration `help:"Delay with which a change is shown."`
	VM  []string      `help:"A VM as ADDR;key=value,key=value; may be repeated." sep:"none"`
}

func (c *vmsCmd) Run(f *flags, _ *event.Recorder) error {
	list, err := vmList(c.VM)
	if err != nil {
		return err
	}
	return serve(f, standin.NewVMs(c.Lag, list).Handler(), nil)
}

// vmList returns the VM list in JSON for VMs given by flags.
func vmList(vms []string) (json.RawMessage, error) {
	type group struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	groups := []group{}
	for _, vm := range vms {
		addr, text, _ := strings.Cut(vm, ";")
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, errs.Errorf("vm %q: %w", vm, err)
		}
		g := group{Targets: []string{addr}, Labels: make(map[string]string)}
		for _, pair := range strings.Split(text, ",") {
			k, v, ok := strings.Cut(pair, "=")
			if !ok {
				return nil, errs.Errorf("vm %q: label %q has no value", vm, pair)
			}
			g.Labels[k] = v
		}
		groups = append(groups, g)
	}
	return json.Marshal(groups)
}

// shutdownTimeout is the maximum duration of a graceful shutdown.
const shutdownTimeout = 10 * time.Second

// serve serves until a signal and then shuts down gracefully. leave, if not nil,
// is called first.
func serve(f *flags, h http.Handler, leave func(context.Context)) error {
	if f.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	l, err := net.Listen("tcp", f.Listen.String())
	if err != nil {
		return errs.Wrap(err)
	}
	ctx, stop := cli.SignalContext()
	defer stop()
	s := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if leave != nil {
			leave(end)
		}
		_ = s.Shutdown(end)
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errs.Wrap(err)
	}
	<-done
	return nil
}

func main() {
	var f flags
	ctx := cli.Parse(&f, "Runs a fake of one external system.")
	rec := event.New(f.Name, event.WithLogger(f.Logger(f.Name)))
	if err := ctx.Run(&f, rec); err != nil {
		cli.Exit(cli.ExitFailed, err)
	}
}
