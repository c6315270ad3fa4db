package ctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/policy"
)

// Get prints a revision's text; 0 stands for the newest revision.
func (t *Tool) Get(ctx context.Context, revision int64) error {
	if revision == 0 {
		head, err := t.configs.Head(ctx)
		if err != nil {
			return err
		}
		revision = head.Revision
	}
	if revision == 0 {
		return errs.Errorf("nothing was ever applied")
	}
	d, err := t.configs.Get(ctx, revision)
	if err != nil {
		return err
	}
	if t.output == OutputJSON {
		t.printJSON(d)
		return nil
	}
	fmt.Fprintf(t.out, "# revision %d by %s at %s\n%s", d.Revision, d.Author, d.At.Format(time.RFC3339), d.Text)
	return nil
}

// Diff prints the difference between the newest revision and a file.
func (t *Tool) Diff(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := policy.Parse(file, text); err != nil {
		return err
	}
	base, old, err := t.baseRevision(ctx, -1)
	if err != nil {
		return err
	}
	t.printDiff(base, old, file, string(text))
	return nil
}

// historyPage is the maximum number of revisions that History prints.
const historyPage = 100

// History prints the accepted revisions after the given one, oldest first.
func (t *Tool) History(ctx context.Context, after int64) error {
	docs, err := t.configs.History(ctx, after, historyPage)
	if err != nil {
		return err
	}
	if t.output == OutputJSON {
		t.printJSON(docs)
		return nil
	}
	return t.printTable("REVISION\tAUTHOR\tAT\tBYTES", func(row func(string, ...any)) {
		for _, d := range docs {
			row("%d\t%s\t%s\t%d", d.Revision, d.Author, d.At.Format(time.RFC3339), len(d.Text))
		}
	})
}

// Check validates a file and returns one error that lists everything invalid in it.
func (t *Tool) Check(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := policy.Parse(file, text); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s is valid\n", file)
	return nil
}
