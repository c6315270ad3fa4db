package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pathhead/pathhead/route"
)

// Report summarises what all callers of one run observed. Times are in milliseconds.
type Report struct {
	Label     string  `json:"label"`
	Workload  string  `json:"workload"`
	Seed      uint64  `json:"seed"`
	Requests  int     `json:"requests"`
	Answered  int     `json:"answered"`
	Refused   int     `json:"refused"`
	Cut       int     `json:"cut"`
	Wrong     int     `json:"wrong"`
	TTFT50    float64 `json:"ttft50"`
	TTFT95    float64 `json:"ttft95"`
	TTFT99    float64 `json:"ttft99"`
	Total99   float64 `json:"total99"`
	Refusal99 float64 `json:"refusal99"`
	// HitRate is the fraction of prompt tokens that came from caches. Bound is the
	// fraction that a single cache without evictions would give.
	HitRate float64 `json:"hitRate"`
	Bound   float64 `json:"bound"`
	// Wasted is the number of prompt tokens that were computed although such a cache
	// would have held them.
	Wasted int64          `json:"wasted"`
	Orgs   []OrgReport    `json:"orgs"`
	Codes  map[string]int `json:"codes"`
}

// OrgReport holds one organisation's figures in a report.
type OrgReport struct {
	Org      string  `json:"org"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	TTFT50   float64 `json:"ttft50"`
	TTFT99   float64 `json:"ttft99"`
}

// The range of the histograms, from one microsecond to ten minutes, and their
// significant digits.
const (
	histLow    = 1
	histHigh   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(histLow, histHigh, histDigits) }

// record adds a duration to a histogram, clamped to its range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histLow), histHigh))
}

// ms returns a quantile, given in percent, in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Summarise reports on the requests of a run that were due at skip or later; earlier
// ones fill the caches only.
func Summarise(label string, w Workload, seed uint64, arrivals []Arrival, results []Result, skip time.Duration) Report {
	results = slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Due < skip })
	rep := Report{Label: label, Workload: w.Name, Seed: seed, Requests: len(results), Codes: make(map[string]int)}
	ttft, total, refusal := newHist(), newHist(), newHist()
	orgs := make(map[string]*orgTotals)
	var prompt, cached int64
	for _, r := range results {
		o, ok := orgs[r.Org]
		if !ok {
			o = &orgTotals{OrgReport: OrgReport{Org: r.Org}, ttft: newHist()}
			orgs[r.Org] = o
		}
		o.Requests++
		rep.count(r)
		if !r.OK() {
			if r.Status != 200 {
				record(refusal, r.Total)
			}
			continue
		}
		o.Answered++
		record(ttft, r.FirstToken)
		record(o.ttft, r.FirstToken)
		record(total, r.Total)
		prompt += int64(r.Prompt)
		cached += int64(r.Cached)
	}
	rep.TTFT50, rep.TTFT95, rep.TTFT99 = ms(ttft, 50), ms(ttft, 95), ms(ttft, 99)
	rep.Total99, rep.Refusal99 = ms(total, 99), ms(refusal, 99)
	bound, all := IdealCacheHits(arrivals, skip)
	if prompt > 0 {
		rep.HitRate = float64(cached) / float64(prompt)
		rep.Bound = float64(bound) / float64(all)
		rep.Wasted = int64(rep.Bound*float64(prompt)) - cached
	}
	rep.addOrgs(orgs)
	return rep
}

// orgTotals accumulates one organisation's figures.
type orgTotals struct {
	OrgReport
	ttft *hdrhistogram.Histogram
}

// count adds one result to the counts of outcomes and codes.
func (rep *Report) count(r Result) {
	switch {
	case r.OK():
		rep.Answered++
	case r.Wrong:
		rep.Wrong++
	case r.Cut:
		rep.Cut++
	default:
		rep.Refused++
	}
	if r.Code != "" {
		rep.Codes[r.Code]++
	}
}

func (rep *Report) addOrgs(orgs map[string]*orgTotals) {
	for _, name := range slices.Sorted(maps.Keys(orgs)) {
		o := orgs[name]
		o.TTFT50, o.TTFT99 = ms(o.ttft, 50), ms(o.ttft, 99)
		rep.Orgs = append(rep.Orgs, o.OrgReport)
	}
}

// IdealCacheHits returns two counts of prompt tokens over the requests due at skip or
// later: those that a single cache without evictions would hold, which sees all
// arrivals in order, and all of them.
func IdealCacheHits(arrivals []Arrival, skip time.Duration) (cached, total int64) {
	seen := make(map[route.Block]bool)
	for _, a := range arrivals {
		text := a.Text()
		salt := route.Salt{Org: a.Org, Model: a.Model, Weights: "any"}
		for _, b := range route.Chain(salt.String(), text, route.BlockBytes, 1) {
			if seen[b] && a.Due >= skip {
				cached += route.BlockTokens
			}
			seen[b] = true
		}
		if a.Due >= skip {
			total += int64(route.Tokens(len(text)))
		}
	}
	return cached, total
}

// Markdown writes reports as a table with the medians of each label's runs, and for some
// columns the range.
func Markdown(w io.Writer, reports []Report) error {
	fmt.Fprintln(w, "| policy | runs | answered | TTFT p50 ms | TTFT p99 ms (range) | hit rate | of bound | wasted tokens (range) | cut | wrong |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, group := range groupByLabel(reports) {
		stat := func(f func(Report) float64) (lo, mid, hi float64) { return minMedianMax(group, f) }
		_, answered, _ := stat(func(r Report) float64 { return float64(r.Answered) / float64(max(1, r.Requests)) })
		_, p50, _ := stat(func(r Report) float64 { return r.TTFT50 })
		lo99, p99, hi99 := stat(func(r Report) float64 { return r.TTFT99 })
		_, hit, _ := stat(func(r Report) float64 { return r.HitRate })
		_, of, _ := stat(func(r Report) float64 { return r.HitRate / max(r.Bound, 1e-9) })
		loW, wasted, hiW := stat(func(r Report) float64 { return float64(r.Wasted) })
		cut, wrong := 0, 0
		for _, r := range group {
			cut += r.Cut
			wrong += r.Wrong
		}
		_, err := fmt.Fprintf(w, "| %s | %d | %.3f | %.1f | %.1f (%.1f–%.1f) | %.3f | %.3f | %.0f (%.0f–%.0f) | %d | %d |\n",
			group[0].Label, len(group), answered, p50, p99, lo99, hi99, hit, of, wasted, loW, hiW, cut, wrong)
		if err != nil {
			return err
		}
	}
	return nil
}

// groupByLabel groups reports by label, in the order in which the labels first occur.
func groupByLabel(reports []Report) [][]Report {
	var out [][]Report
	at := make(map[string]int)
	for _, r := range reports {
		i, ok := at[r.Label]
		if !ok {
			i = len(out)
			at[r.Label] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], r)
	}
	return out
}

// minMedianMax returns the least, the median and the greatest of f over reports.
func minMedianMax(reports []Report, f func(Report) float64) (lo, mid, hi float64) {
	values := make([]float64, 0, len(reports))
	for _, r := range reports {
		values = append(values, f(r))
	}
	slices.SortFunc(values, cmp.Compare[float64])
	return values[0], values[len(values)/2], values[len(values)-1]
}
