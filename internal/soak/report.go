package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// saveArtifacts writes the plan, the report, the timeline and the joined logs to the folder
// of a failed run, and removes the folder of a successful one.
func (s *Soak) saveArtifacts(res *Result) error {
	if len(res.Violations) == 0 {
		err := os.RemoveAll(res.Dir)
		res.Dir = ""
		return errs.Wrap(err)
	}
	plan, err := json.MarshalIndent(res.Plan, "", "  ")
	if err != nil {
		return errs.Wrap(err)
	}
	var report strings.Builder
	res.Write(&report)
	for name, data := range map[string][]byte{"plan.json": plan, "report.txt": []byte(report.String())} {
		if err := os.WriteFile(filepath.Join(res.Dir, name), data, 0o644); err != nil {
			return errs.Wrap(err)
		}
	}
	if err := res.plot(filepath.Join(res.Dir, "timeline.svg")); err != nil {
		return err
	}
	return res.writeJoinedLog()
}

// maxListed is the number of violations of one guarantee that a report lists.
const maxListed = 5

// Write writes the report of a run to w.
func (res Result) Write(w io.Writer) {
	kinds := make(map[Kind]int)
	for _, step := range res.Plan.Steps {
		kinds[step.Kind]++
	}
	served, refused := 0, 0
	for _, a := range res.Record.Attempts {
		switch {
		case a.Status == 200 && a.Err == "":
			served++
		case a.refusedNotRun():
			refused++
		}
	}
	verdict := "kept"
	if len(res.Violations) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d steps %v; %d requests, %d served, %d refused as not run, %d runs, %d orders\n",
		res.Plan.Seed, verdict, len(res.Plan.Steps), kinds, len(res.Record.Attempts), served, refused, len(res.Record.Runs), len(res.Record.Orders))
	count := make(map[Guarantee]int)
	for _, b := range res.Violations {
		if count[b.Guarantee]++; count[b.Guarantee] <= maxListed {
			fmt.Fprintf(w, "  %8.3f  %s: %s: %s\n", b.At.Sub(res.Record.Start).Seconds(), b.Guarantee, b.Subject, b.Detail)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(w, "  %d times: %s\n", count[p], p)
	}
	if res.Dir != "" {
		fmt.Fprintf(w, "  logs in %s\n", res.Dir)
	}
}

// logLine is a line of the joined log with its time.
type logLine struct {
	at   time.Time
	text string
}

// writeJoinedLog writes the logs of all processes, the faults, the orders and the violations
// to one file, ordered by time.
func (res Result) writeJoinedLog() error {
	var all []logLine
	add := func(at time.Time, format string, args ...any) {
		all = append(all, logLine{at, fmt.Sprintf(format, args...)})
	}
	for _, t := range res.Record.Faults {
		add(t.From, "FAULT %s %s %s %s", t.Scope, t.Kind, t.Subject, t.Detail)
		if t.Until.After(t.From) {
			add(t.Until, "FAULT ends: %s %s %s", t.Scope, t.Kind, t.Subject)
		}
	}
	for _, b := range res.Violations {
		add(b.At, "BROKEN %s: %s: %s", b.Guarantee, b.Subject, b.Detail)
	}
	for _, o := range res.Record.Orders {
		add(o.Arrived, "ORDER to %s: weights %d by %s, fence %d: %d at %s", o.Replica, o.Version, o.Holder, o.Fence, o.Status, o.At.Sub(res.Record.Start))
	}
	files, err := filepath.Glob(filepath.Join(res.Dir, "*.log"))
	if err != nil {
		return errs.Wrap(err)
	}
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	f, err := os.Create(filepath.Join(res.Dir, "joined.txt"))
	if err != nil {
		return errs.Wrap(err)
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	for _, e := range all {
		fmt.Fprintf(w, "%9.3f %s\n", e.at.Sub(res.Record.Start).Seconds(), e.text)
	}
	return errs.Wrap(w.Flush())
}

// readLog reads a process's log. A line without a time has the time of the line before it.
func readLog(name string) ([]logLine, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var out []logLine
	var at time.Time
	process := strings.TrimSuffix(filepath.Base(name), ".log")
	for line := range strings.Lines(string(data)) {
		// The time of an event is in nanoseconds, followed by a point and a logical counter.
		nanos, _, _ := strings.Cut(gjson.Get(line, "at").String(), ".")
		if n, err := strconv.ParseInt(nanos, 10, 64); err == nil {
			at = time.Unix(0, n)
		}
		out = append(out, logLine{at, process + " " + strings.TrimSpace(line)})
	}
	return out, nil
}

// The dimensions of the timeline plot.
const (
	plotWidth     = 12 * vg.Inch
	plotRowHeight = 0.3 * vg.Inch
	plotMargin    = 1.5 * vg.Inch
)

// plot writes a timeline that shows faults as bars, with a row for each kind, and violations
// as crosses, with a row for each guarantee.
func (res Result) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Seed %d: faults (bars) and violated guarantees (crosses)", res.Plan.Seed)
	p.X.Label.Text = "s"
	var rows []string
	row := func(name string) float64 {
		at := slices.Index(rows, name)
		if at < 0 {
			at = len(rows)
			rows = append(rows, name)
		}
		return float64(at)
	}
	second := func(t time.Time) float64 { return t.Sub(res.Record.Start).Seconds() }
	for _, t := range res.Record.Faults {
		y := row(string(t.Kind))
		line, err := plotter.NewLine(plotter.XYs{{X: second(t.From), Y: y}, {X: second(t.end(res.Record.Now)) + 0.05, Y: y}})
		if err != nil {
			return errs.Wrap(err)
		}
		line.Width = vg.Points(6)
		p.Add(line)
	}
	var points plotter.XYs
	for _, b := range res.Violations {
		points = append(points, plotter.XY{X: second(b.At), Y: row(string(b.Guarantee))})
	}
	crosses, err := plotter.NewScatter(points)
	if err != nil {
		return errs.Wrap(err)
	}
	crosses.Shape = draw.CrossGlyph{}
	p.Add(crosses)
	p.NominalY(rows...)
	return errs.Wrap(p.Save(plotWidth, plotMargin+plotRowHeight*vg.Length(len(rows)), file))
}
