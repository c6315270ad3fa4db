package rig2

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2
)

// maxCaseTime bounds a case, with the start and the end of its processes.
const maxCaseTime = 110 * time.Second

// errBroken is the result of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by the number of their folder.
var cases = map[string]func(ctx context.Context, r *rig) error{
	"4": serviceName,
	"5": lastTenantRemoved,
	"6": reloadedLease,
	"7": modelNameWithTag,
	"8": restoredStore,
}

// TestMain plays a case if the first argument is "play". As a part of the default test run it does nothing: the
// package has no tests.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || os.Args[1] != "play" {
		os.Exit(m.Run())
	}
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	node := flags.String("node", "target/pathhead-node", "program of the nodes")
	record := flags.String("record", "record.txt", "file that receives the record of the case")
	trouble := flags.Bool("trouble", true, "play the disruption too")
	model := flags.String("model", "daka:5b", "model of case 7")
	if flags.Parse(os.Args[2:]) != nil {
		os.Exit(exitUnplayed)
	}
	os.Exit(play(flags.Arg(0), *node, *record, *model, *trouble))
}

// play plays one case and returns the exit code.
func play(name, node, record, model string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitUnplayed
	}
	r, err := newRig(node, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	defer r.close()
	r.model = model
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseTime)
	defer cancel()
	err = run(ctx, r)
	switch {
	case errors.Is(err, errBroken):
		r.note("RESULT broken")
		return exitBroken
	case err != nil:
		r.note("RESULT could not run: %v", err)
		return exitUnplayed
	}
	r.note("RESULT held")
	return exitHeld
}
