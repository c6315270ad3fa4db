package load

import (
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/zeebo/errs/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Read returns the reports in files of concatenated JSON [Report] values.
func Read(files ...string) ([]Report, error) {
	var out []Report
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		defer f.Close()
		dec := json.NewDecoder(f)
		for {
			var r Report
			err := dec.Decode(&r)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return nil, errs.Errorf("%s: %w", name, err)
			}
			out = append(out, r)
		}
	}
	return out, nil
}

// The sizes of a plot and, in points, of its bars.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 24
)

// Plot draws a bar for each label: the median over its runs of the 99th percentile of
// the time to first token.
func Plot(file string, reports []Report) error {
	p := plot.New()
	p.Title.Text = "Time to first token, 99th percentile"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var values plotter.Values
	var labels []string
	for _, g := range groupByLabel(reports) {
		_, mid, _ := minMedianMax(g, func(r Report) float64 { return r.TTFT99 })
		values = append(values, mid)
		labels = append(labels, g[0].Label)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return errs.Wrap(err)
	}
	p.Add(bars)
	p.NominalX(labels...)
	return errs.Wrap(p.Save(plotWidth, plotHeight, file))
}
