package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// Kind is a kind of fault, or of change, that a plan has.
type Kind string

// The kinds of steps.
const (
	// Pause stops a node's process and continues it, Kill ends it and starts it
	// again, Stop ends it as planned and starts it again.
	Pause Kind = "pause"
	Kill  Kind = "kill"
	Stop  Kind = "stop"
	// HangUp writes a node's settings anew and says so by a signal, Join adds a node.
	HangUp Kind = "hang-up"
	Join   Kind = "join"
	// StoreFails has the store fail at a node's door, or at all of them.
	StoreFails   Kind = "store-fails"
	StoreForgets Kind = "store-forgets"
	// StoreReturns has the store come back as it was a length ago, in a new era.
	StoreReturns Kind = "store-returns"
	// StoreLink impairs a node's link to the store, TargetLink all nodes' links to a target.
	StoreLink  Kind = "store-link"
	TargetLink Kind = "target-link"
	// TargetCrash ends a target and starts it again, TargetDrain has a new one take
	// its place, TargetHide does so without a word, TargetGrey has it fail a part of its requests.
	TargetCrash Kind = "target-crash"
	// TargetAgain ends a target and starts it again under its id, by whatever clock.
	TargetAgain Kind = "target-again"
	TargetDrain Kind = "target-drain"
	TargetHide  Kind = "target-hide"
	TargetGrey  Kind = "target-grey"
	// RequestDeadly has copies of one request come, under which each engine ends that begins to run it.
	RequestDeadly Kind = "request-deadly"
	// TargetNamesLimit, TargetSaysLeaving and TargetRests have a target say in its answers what it needs.
	TargetNamesLimit  Kind = "target-names-limit"
	TargetSaysLeaving Kind = "target-says-leaving"
	TargetRests       Kind = "target-rests"
	// OrdersLate has a target leave orders unanswered and carry them out late.
	OrdersLate Kind = "orders-late"
	// NameWeights names new weights, Reconfigure declares a new configuration.
	NameWeights Kind = "name-weights"
	Reconfigure Kind = "reconfigure"
)

// Step is one fault or change.
type Step struct {
	At   time.Duration
	Kind Kind
	// Subject is the place of the node or target that it hits; Everyone hits all.
	Subject int
	// Length is how long it holds, or until the process is started again.
	Length time.Duration
	Link   Link                `json:",omitempty"`
	Outage platformtest.Outage `json:",omitempty"`
}

// Everyone is the subject of a step that hits all nodes.
const Everyone = -1

// Plan is what a seed determines.
type Plan struct {
	Seed uint64
	// Cause says of a plan that is kept what it showed.
	Cause string `json:",omitempty"`
	// Length is how long faults come, Tail how long callers go on after the last.
	Length, Tail time.Duration
	Size         Size
	Steps        []Step
}

// Size is the size of an installation.
type Size struct {
	Nodes, Engines, Plain, Callers int
}

// DefaultSize is a small fleet, of which some nodes can be down without the others being full.
var DefaultSize = Size{Nodes: 5, Engines: 9, Plain: 3, Callers: 10}

// DefaultTail is the time for recovery, and some to see that it came.
const DefaultTail = 16 * time.Second

// pattern is how the steps of one kind follow on each other.
type pattern int

const (
	// scattered steps come at any time, inTurn ones hit the subjects one after
	// the other, herd ones hit most at once, again ones hit one several times.
	scattered pattern = iota
	inTurn
	herd
	again
	patterns
)

// class is a kind with its part of the plans, and the bounds of its steps.
type class struct {
	kind  Kind
	part  float64
	least time.Duration
	most  time.Duration
	count int
}

// classes are the kinds that plans are drawn from. The parts were chosen so that a
// plan has some five of the kinds, and half of the plans have no fault of a link or
// the store: such a fault excuses nodes from most bounds for a while. Pauses and
// starts last up to a few seconds, which is around the time after which nodes
// have to be in touch again (3 s). Late orders are late for
// longer than the bound of weights (10 s).
var classes = []class{
	{Pause, 0.35, 200 * time.Millisecond, 5 * time.Second, 5},
	{Kill, 0.4, 50 * time.Millisecond, 3 * time.Second, 5},
	{Stop, 0.4, 50 * time.Millisecond, time.Second, 3},
	{HangUp, 0.2, 0, 0, 3},
	{Join, 0.25, 0, 0, 2},
	{StoreFails, 0.25, 500 * time.Millisecond, 12 * time.Second, 3},
	{StoreForgets, 0.15, 0, 0, 2},
	{StoreLink, 0.25, 300 * time.Millisecond, 12 * time.Second, 4},
	{TargetLink, 0.2, 300 * time.Millisecond, 4 * time.Second, 4},
	{TargetCrash, 0.3, 300 * time.Millisecond, 4 * time.Second, 5},
	{TargetDrain, 0.35, 3 * time.Second, 6 * time.Second, 3},
	{TargetHide, 0.2, 3 * time.Second, 6 * time.Second, 2},
	{TargetGrey, 0.3, 2 * time.Second, 8 * time.Second, 5},
	{OrdersLate, 0.5, 10 * time.Second, 30 * time.Second, 5},
	{NameWeights, 0.7, 0, 0, 5},
	{Reconfigure, 0.5, 0, 0, 5},
	{TargetAgain, 0.3, 100 * time.Millisecond, 3 * time.Second, 6},
	{RequestDeadly, 0.3, 4 * time.Second, 12 * time.Second, 2},
	{TargetNamesLimit, 0.4, 4 * time.Second, 15 * time.Second, 4},
	{TargetSaysLeaving, 0.4, time.Second, 6 * time.Second, 3},
	{TargetRests, 0.4, 3 * time.Second, 10 * time.Second, 4},
	{StoreReturns, 0.2, 300 * time.Millisecond, 8 * time.Second, 3},
}

// links and outages are what the faults of links and of the store are drawn from.
var (
	links   = []Link{Delayed, CutUp, CutDown, Silence, Reset}
	outages = []platformtest.Outage{
		platformtest.Unavailable, platformtest.Unavailable, platformtest.Resetting, platformtest.Resetting, platformtest.LosingAnswers, platformtest.LateWrites,
		platformtest.Slow, platformtest.RateLimited, platformtest.Garbling,
	}
)

// focuses are kinds that bring faults out together; a seed draws one of them, or none.
var focuses = [][]Kind{
	nil,
	{NameWeights, OrdersLate, Kill, Stop, Pause, Join},
	{StoreFails, StoreLink, Kill, Pause, NameWeights},
	{Reconfigure, StoreFails, StoreLink, Pause, Join},
	{TargetDrain, TargetHide, TargetCrash, TargetAgain, Stop, Reconfigure},
}

// The parts of plans that have a kind of the focus, and by how much rarer the others are.
const (
	focusPart = 0.8
	otherPart = 0.3
)

// Draw returns the plan of a seed.
func Draw(seed uint64, length time.Duration, size Size) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Length: length, Tail: DefaultTail, Size: size}
	focus := focuses[rng.IntN(len(focuses))]
	for _, c := range classes {
		part := c.part
		switch {
		case slices.Contains(focus, c.kind):
			part = focusPart
		case focus != nil:
			part *= otherPart
		}
		if rng.Float64() < part {
			p.Steps = append(p.Steps, c.draw(rng, length, size)...)
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// The times between steps that follow on each other, and those within a herd.
const (
	leastGap = time.Second
	mostGap  = 6 * time.Second
	herdTime = 300 * time.Millisecond
)

// draw returns the steps of one kind.
func (c class) draw(rng *rand.Rand, length time.Duration, size Size) []Step {
	within := func(least, most time.Duration) time.Duration { return least + drawTime(rng, most-least) }
	how := pattern(rng.IntN(int(patterns)))
	if c.kind == OrdersLate {
		// One late target delays little.
		how = herd
	}
	subject, count := rng.IntN(size.Nodes+size.Engines), 1+rng.IntN(c.count)
	switch {
	case c.kind == OrdersLate:
		count = size.Engines
	case how == herd && c.count > 2:
		count = size.Nodes - rng.IntN(2)
	}
	at, gap := within(0, length*2/3), within(leastGap, mostGap)
	if c.kind == OrdersLate || c.kind == NameWeights {
		// What comes of them takes longer than a third of a plan.
		at /= 3
	}
	var out []Step
	for range count {
		s := Step{At: at, Kind: c.kind, Subject: subject, Length: within(c.least, c.most)}
		c.detail(rng, &s)
		switch how {
		case scattered:
			at, subject = within(0, length*4/5), rng.IntN(size.Nodes+size.Engines)
		case inTurn:
			at, subject = at+gap, subject+1
		case herd:
			at, subject = at+drawTime(rng, herdTime), subject+1
		case again:
			at += gap
		}
		if c.kind == NameWeights || c.kind == Reconfigure {
			at = max(at, s.At+gap)
		}
		if s.At < length {
			out = append(out, s)
		}
	}
	return out
}

// drawTime draws a time from zero up to a bound.
func drawTime(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(1, most))))
}

// detail draws what only some kinds have.
func (c class) detail(rng *rand.Rand, s *Step) {
	switch c.kind {
	case StoreFails:
		s.Outage = outages[rng.IntN(len(outages))]
		if rng.IntN(2) == 0 {
			s.Subject = Everyone
		}
	case StoreLink, TargetLink:
		s.Link = links[rng.IntN(len(links))]
	case OrdersLate, Pause, Kill, Stop, HangUp, Join, StoreForgets, StoreReturns, TargetCrash, TargetAgain, TargetDrain, TargetHide, TargetGrey, RequestDeadly,
		TargetNamesLimit, TargetSaysLeaving, TargetRests, NameWeights, Reconfigure:
	}
}

// ReadPlan reads a plan from a file.
func ReadPlan(file string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(file)
	if err != nil {
		return p, errs.Wrap(err)
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, errs.Errorf("%s: %w", file, err)
	}
	return p, nil
}
