package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Arrival is one request of a workload. Due is its time after the workload's start.
type Arrival struct {
	Due       time.Duration
	Org       string
	Model     string
	Messages  []Message
	MaxTokens int
}

// Org is an organisation in a workload.
type Org struct {
	Name string
	// Rate is its mean requests per second.
	Rate float64
	// Topics is the number of second-level texts it uses (a carrier's or a syllabus's
	// rules), Subtopics the number of third-level texts under each.
	Topics    int
	Subtopics int
}

// APIKey returns the organisation's API key in the example configurations.
func (o Org) APIKey() string { return "demo-" + o.Name }

// Workload describes requests whose prompts have four nested levels: preamble, topic,
// subtopic and case. Prompts with the same first levels share a prefix.
type Workload struct {
	Name     string
	Model    string
	Orgs     []Org
	Duration time.Duration
	// The lengths of the four levels, in tokens of four bytes.
	Preamble, Topic, Subtopic, Case int
	MaxTokens                       int
	// Skew is the Zipf exponent of the distribution of topics. After every ShiftEvery,
	// other topics become the frequent ones; zero is never.
	Skew       float64
	ShiftEvery time.Duration
	// Surges raise the rates of single organisations for a time.
	Surges []Surge
	// Ramp is a factor on all rates that grows linearly from 1 to this value; zero is none.
	Ramp float64
}

// Surge multiplies one organisation's rate from Begin to End.
type Surge struct {
	Org        string
	Factor     float64
	Begin, End time.Duration
}

// Workloads returns the workloads by name: the busy hour of each deployment, variants of
// yunfeng's at a quarter of its rates without and with a surge, and a variant of guild's
// with longer cases and answers.
func Workloads(duration time.Duration, scale float64) map[string]Workload {
	y := yunfeng(duration, scale)
	calm := yunfeng(duration, scale/4)
	calm.Name = "yunfeng-calm"
	surge := yunfeng(duration, scale/4)
	surge.Name = "yunfeng-surge"
	surge.Surges = []Surge{{Org: "formosa-air", Factor: 10, Begin: duration / 3, End: duration * 2 / 3}}
	g := guild(duration, scale)
	reports := guild(duration, scale)
	reports.Name = "guild-reports"
	reports.MaxTokens = 48
	reports.Case = 200
	out := make(map[string]Workload)
	for _, w := range []Workload{y, calm, surge, g, reports} {
		out[w.Name] = w
	}
	return out
}

// yunfeng returns the busy hour of a deployment for airlines.
func yunfeng(d time.Duration, scale float64) Workload {
	w := Workload{
		Name: "yunfeng-rush", Model: "desk-7b", Duration: d,
		Preamble: 256, Topic: 1536, Subtopic: 768, Case: 64, MaxTokens: 12,
		Skew: 1.1, ShiftEvery: d / 3,
	}
	for i, name := range []string{
		"formosa-air", "jade-wings", "strait-shuttle", "penghu-air",
		"kinmen-link", "alishan-air", "taitung-hop", "matsu-ferry-air",
	} {
		w.Orgs = append(w.Orgs, newOrg(name, i, scale, 6, 8))
	}
	return w
}

// guild returns the busy hour of a deployment for music studios.
func guild(d time.Duration, scale float64) Workload {
	w := Workload{
		Name: "guild-signup", Model: "tutor-7b", Duration: d,
		Preamble: 512, Topic: 1024, Subtopic: 512, Case: 96, MaxTokens: 16,
		Skew: 0.9, ShiftEvery: d / 2,
	}
	for i, name := range []string{
		"harrogate-studios", "leeds-strings", "york-keys", "ripon-brass",
		"whitby-voices", "selby-winds", "skipton-guitars", "malton-harps",
	} {
		w.Orgs = append(w.Orgs, newOrg(name, i, scale, 5, 12))
	}
	return w
}

// largeOrgs is the number of large organisations among the eight of a deployment.
const largeOrgs = 3

// newOrg returns the i-th organisation of a deployment; the first ones are large.
func newOrg(name string, i int, scale float64, topics, subtopics int) Org {
	o := Org{Name: name, Rate: 4 * scale, Topics: topics / 2, Subtopics: subtopics / 2}
	if i < largeOrgs {
		o.Rate, o.Topics, o.Subtopics = 18*scale, topics, subtopics
	}
	return o
}

// Arrivals generates the workload's requests from a seed, ordered by due time.
func (w Workload) Arrivals(seed uint64) []Arrival {
	var out []Arrival
	for i, o := range w.Orgs {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, w.orgArrivals(rng, o)...)
	}
	slices.SortFunc(out, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Org, b.Org))
	})
	return out
}

// orgArrivals generates one organisation's requests. It draws a Poisson process at the
// organisation's peak rate and thins it to the rate at each time.
func (w Workload) orgArrivals(rng *rand.Rand, o Org) []Arrival {
	var out []Arrival
	peak := o.Rate * max(1, w.Ramp)
	for _, s := range w.Surges {
		if s.Org == o.Name {
			peak *= s.Factor
		}
	}
	zipf := newZipf(o.Topics, w.Skew)
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		due := time.Duration(at * float64(time.Second))
		if due >= w.Duration {
			return out
		}
		if rng.Float64()*peak > w.rate(o, due) {
			continue
		}
		out = append(out, w.arrival(rng, o, zipf, due))
	}
}

// rate returns an organisation's requests per second at a time.
func (w Workload) rate(o Org, at time.Duration) float64 {
	rate := o.Rate
	if w.Ramp > 1 {
		rate *= 1 + (w.Ramp-1)*at.Seconds()/w.Duration.Seconds()
	}
	for _, s := range w.Surges {
		if s.Org == o.Name && at >= s.Begin && at < s.End {
			rate *= s.Factor
		}
	}
	return rate
}

// arrival draws the levels of one prompt.
func (w Workload) arrival(rng *rand.Rand, o Org, zipf zipf, due time.Duration) Arrival {
	shift := 0
	if w.ShiftEvery > 0 {
		shift = int(due / w.ShiftEvery)
	}
	topic := (zipf.draw(rng) + shift*2) % o.Topics
	sub := rng.IntN(o.Subtopics)
	return Arrival{
		Due: due, Org: o.Name, Model: w.Model, MaxTokens: w.MaxTokens,
		Messages: []Message{
			{"system", FillerText("preamble of "+w.Name, w.Preamble)},
			{"system", FillerText(fmt.Sprintf("rules %d of %s", topic, o.Name), w.Topic)},
			{"system", FillerText(fmt.Sprintf("route %d.%d of %s", topic, sub, o.Name), w.Subtopic)},
			{"user", FillerText(fmt.Sprintf("case %d", rng.Uint64()), w.Case)},
		},
	}
}

// words is the vocabulary of generated text.
var words = strings.Fields("fare seat route child bag miles change fee night gate line stop note scale bow key hand time play hear")

// FillerText returns about n tokens of text that depends on the title only.
func FillerText(title string, n int) string {
	var b strings.Builder
	b.WriteString(title)
	b.WriteString(": ")
	seed := uint64(14695981039346656037)
	for _, c := range title {
		seed = (seed ^ uint64(c)) * 1099511628211
	}
	rng := rand.New(rand.NewPCG(seed, seed))
	for b.Len() < 4*n {
		b.WriteString(words[rng.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

// zipf draws numbers from 0 to n-1 with Zipf-distributed frequencies; smaller ones are
// more frequent.
type zipf struct{ cumulative []float64 }

func newZipf(n int, skew float64) zipf {
	z := zipf{}
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), skew)
		z.cumulative = append(z.cumulative, sum)
	}
	return z
}

func (z zipf) draw(rng *rand.Rand) int {
	x := rng.Float64() * z.cumulative[len(z.cumulative)-1]
	i, _ := slices.BinarySearch(z.cumulative, x)
	return min(i, len(z.cumulative)-1)
}
