package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/policy"
)

// ApplyOptions are the options of [Tool.Apply].
type ApplyOptions struct {
	File   string
	Author string
	DryRun bool
	// Base is the revision that the file was derived from; a negative value
	// stands for the newest.
	Base int64
	// Wait is the maximum time to wait until the revision is in force at all routers.
	Wait time.Duration
}

// Apply submits a file as the next revision. It returns an error wrapping
// [fleet.ErrSuperseded] if another operator's revision was accepted first, and
// one wrapping [fleet.ErrOutcomeUnknown] if the outcome of the write is unknown.
func (t *Tool) Apply(ctx context.Context, o ApplyOptions) error {
	text, err := os.ReadFile(o.File)
	if err != nil {
		return errs.Wrap(err)
	}
	cfg, err := policy.Parse(o.File, text)
	if err != nil {
		return err
	}
	t.warnUnmatched(ctx, o.File, cfg)
	base, old, err := t.baseRevision(ctx, o.Base)
	if err != nil {
		return err
	}
	t.printDiff(base, old, o.File, string(text))
	if o.DryRun {
		return nil
	}
	return t.submit(ctx, o, base, string(text))
}

// warnUnmatched prints a warning for each selector that matches no listed VM.
func (t *Tool) warnUnmatched(ctx context.Context, file string, cfg *policy.Config) {
	if t.vms == nil {
		return
	}
	vms, err := t.vms.Read(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "warning: selectors were not checked against the VM list: %v\n", err)
		return
	}
	snap, err := policy.Compile(cfg, 0)
	if err != nil {
		return
	}
	var sets []map[string]string
	for _, vm := range vms {
		sets = append(sets, vm.Labels)
	}
	for _, p := range snap.Unmatched(sets) {
		p.File = file
		fmt.Fprintln(os.Stderr, p.Error())
	}
}

// A failed read of the table is retried, which is safe since it changes nothing.
const (
	readTries      = 4
	readRetryDelay = 100 * time.Millisecond
)

// baseRevision returns the number and the text of the revision that a new one
// is based on. A negative want stands for the newest revision.
func (t *Tool) baseRevision(ctx context.Context, want int64) (revision int64, text string, err error) {
	for try := 1; ; try++ {
		revision, text, err = t.readBaseRevision(ctx, want)
		if err == nil || try == readTries || ctx.Err() != nil {
			return revision, text, err
		}
		time.Sleep(readRetryDelay)
	}
}

func (t *Tool) readBaseRevision(ctx context.Context, want int64) (int64, string, error) {
	if want < 0 {
		head, err := t.configs.Head(ctx)
		if err != nil {
			return 0, "", err
		}
		want = head.Revision
	}
	if want == 0 {
		return 0, "", nil
	}
	d, err := t.configs.Get(ctx, want)
	return want, d.Text, err
}

func (t *Tool) printDiff(base int64, old, file, text string) {
	if t.output == OutputJSON {
		return
	}
	d := diff.Diff(fmt.Sprintf("revision %d", base), []byte(old), file, []byte(text))
	if len(d) == 0 {
		fmt.Fprintln(t.out, "no change")
		return
	}
	_, _ = t.out.Write(d)
}

func (t *Tool) submit(ctx context.Context, o ApplyOptions, base int64, text string) error {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	stored, err := t.configs.Apply(ctx, base, fleet.Document{
		WriteID: rand.Text(), Author: o.Author, At: time.Now().UTC(), Text: text,
	})
	if errors.Is(err, fleet.ErrSuperseded) {
		fmt.Fprintf(os.Stderr, "%s changed this first, in revision %d:\n", stored.Author, stored.Revision)
		t.printDiff(stored.Revision, stored.Text, o.File, text)
		return err
	}
	if err != nil {
		return err
	}
	return t.awaitRouters(ctx, stored.Revision)
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Revision int64    `json:"revision"`
	Routers  int      `json:"routers"`
	Missing  []string `json:"missing"`
}

// awaitInterval is the time between checks whether a revision is in force.
const awaitInterval = 100 * time.Millisecond

// awaitRouters waits until the revision is in force at every known router.
func (t *Tool) awaitRouters(ctx context.Context, revision int64) error {
	result := applyResult{Revision: revision}
	for len(t.doors) > 0 {
		result.Routers, result.Missing = t.countRouters(ctx, revision)
		if len(result.Missing) == 0 && result.Routers > 0 {
			break
		}
		select {
		case <-ctx.Done():
			t.printApplied(result)
			return errs.Errorf("revision %d is accepted but was not seen in force at: %v", revision, result.Missing)
		case <-time.After(awaitInterval):
		}
	}
	t.printApplied(result)
	return nil
}

func (t *Tool) printApplied(a applyResult) {
	if t.output == OutputJSON {
		t.printJSON(a)
		return
	}
	fmt.Fprintf(t.out, "revision %d is in force at %d routers\n", a.Revision, a.Routers-len(a.Missing))
}

// countRouters returns the number of routers that answer, and the names of those
// that have an older revision or, by address, the processes that do not answer.
func (t *Tool) countRouters(ctx context.Context, revision int64) (n int, missing []string) {
	for _, p := range t.discoverProcesses(ctx) {
		if p.err != nil {
			missing = append(missing, p.door.String())
			continue
		}
		if p.status.Kind != peer.KindRouter {
			continue
		}
		n++
		if p.status.Revision < revision {
			missing = append(missing, p.status.Name)
		}
	}
	return n, missing
}
