package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
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

func main() {
	node := flag.String("node", "target/pathhead-node", "program of the nodes")
	record := flag.String("record", "record.txt", "file that receives the record of the case")
	trouble := flag.Bool("trouble", true, "play the disruption too")
	model := flag.String("model", "daka:5b", "model of case 7")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *node, *record, *model, *trouble))
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
