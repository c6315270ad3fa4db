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

// keep leaves the plan, the report, the time line and the joined logs of a run that
// failed in its folder, and removes the folder of one that did not.
func (s *Soak) keep(res *Result) error {
	if len(res.Breaches) == 0 {
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
	return res.join()
}

// listMost is how many breaches of one promise a report lists.
const listMost = 5

// Write writes the report of a run.
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
		case a.promised():
			refused++
		}
	}
	verdict := "kept"
	if len(res.Breaches) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d steps %v; %d requests, %d served, %d refused as not run, %d runs, %d orders\n",
		res.Plan.Seed, verdict, len(res.Plan.Steps), kinds, len(res.Record.Attempts), served, refused, len(res.Record.Runs), len(res.Record.Orders))
	count := make(map[Promise]int)
	for _, b := range res.Breaches {
		if count[b.Promise]++; count[b.Promise] <= listMost {
			fmt.Fprintf(w, "  %8.3f  %s: %s: %s\n", b.At.Sub(res.Record.Begun).Seconds(), b.Promise, b.Subject, b.Detail)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(w, "  %d times: %s\n", count[p], p)
	}
	if res.Dir != "" {
		fmt.Fprintf(w, "  logs in %s\n", res.Dir)
	}
}

// entry is a line of the joined log.
type entry struct {
	at   time.Time
	text string
}

// join writes the logs of all processes, the faults and the breaches in the order of time.
func (res Result) join() error {
	var all []entry
	add := func(at time.Time, format string, args ...any) {
		all = append(all, entry{at, fmt.Sprintf(format, args...)})
	}
	for _, t := range res.Record.Troubles {
		add(t.From, "FAULT %s %s %s %s", t.Scope, t.Kind, t.Subject, t.Detail)
		if t.Until.After(t.From) {
			add(t.Until, "FAULT ends: %s %s %s", t.Scope, t.Kind, t.Subject)
		}
	}
	for _, b := range res.Breaches {
		add(b.At, "BROKEN %s: %s: %s", b.Promise, b.Subject, b.Detail)
	}
	for _, o := range res.Record.Orders {
		add(o.Arrived, "ORDER to %s: weights %d by %s, fence %d: %d at %s", o.Replica, o.Version, o.Holder, o.Fence, o.Status, o.At.Sub(res.Record.Begun))
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
	slices.SortStableFunc(all, func(a, b entry) int { return a.at.Compare(b.at) })
	f, err := os.Create(filepath.Join(res.Dir, "joined.txt"))
	if err != nil {
		return errs.Wrap(err)
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	for _, e := range all {
		fmt.Fprintf(w, "%9.3f %s\n", e.at.Sub(res.Record.Begun).Seconds(), e.text)
	}
	return errs.Wrap(w.Flush())
}

// readLog reads a process's log; a line without a time stands after the one before it.
func readLog(name string) ([]entry, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var out []entry
	var at time.Time
	process := strings.TrimSuffix(filepath.Base(name), ".log")
	for line := range strings.Lines(string(data)) {
		// An event's time is in nanoseconds, with a logical count after a point.
		nanos, _, _ := strings.Cut(gjson.Get(line, "at").String(), ".")
		if n, err := strconv.ParseInt(nanos, 10, 64); err == nil {
			at = time.Unix(0, n)
		}
		out = append(out, entry{at, process + " " + strings.TrimSpace(line)})
	}
	return out, nil
}

// The size of a time line.
const (
	plotWidth = 12 * vg.Inch
	plotRow   = 0.3 * vg.Inch
	plotEdge  = 1.5 * vg.Inch
)

// plot draws the faults as bars over time, a row for each kind, with the breaches as
// crosses, a row for each promise.
func (res Result) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Seed %d: faults (bars) and broken promises (crosses)", res.Plan.Seed)
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
	second := func(t time.Time) float64 { return t.Sub(res.Record.Begun).Seconds() }
	for _, t := range res.Record.Troubles {
		y := row(string(t.Kind))
		line, err := plotter.NewLine(plotter.XYs{{X: second(t.From), Y: y}, {X: second(t.end(res.Record.Now)) + 0.05, Y: y}})
		if err != nil {
			return errs.Wrap(err)
		}
		line.Width = vg.Points(6)
		p.Add(line)
	}
	var points plotter.XYs
	for _, b := range res.Breaches {
		points = append(points, plotter.XY{X: second(b.At), Y: row(string(b.Promise))})
	}
	crosses, err := plotter.NewScatter(points)
	if err != nil {
		return errs.Wrap(err)
	}
	crosses.Shape = draw.CrossGlyph{}
	p.Add(crosses)
	p.NominalY(rows...)
	return errs.Wrap(p.Save(plotWidth, plotEdge+plotRow*vg.Length(len(rows)), file))
}
