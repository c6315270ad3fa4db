package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// Engine is what a planner sees of one engine of its pool.
type Engine struct {
	Addr        netip.AddrPort
	Name        string
	Incarnation route.Incarnation
	// Weights maps the models it serves to their weights.
	Weights map[string]string
	Loading bool
	Leaving bool
	// Reachable is false after failed polls.
	Reachable bool
	// Busy is the number of requests it runs or holds, by its own report and the routers' word.
	Busy int
}

func (e Engine) usable() bool { return e.Reachable && !e.Leaving }

// Phase says how far the change of one engine has come.
type Phase int

// The phases of a change, in their order.
const (
	// PhaseDraining keeps new work away and waits until nothing runs.
	PhaseDraining Phase = iota
	// PhaseOrdering wants the order sent.
	PhaseOrdering
	// PhaseLoading waits until the engine is read back in the wanted state.
	PhaseLoading
	// PhaseProbing tries the new state with a small request.
	PhaseProbing
)

// String returns the phase's name for operators.
func (p Phase) String() string {
	switch p {
	case PhaseDraining:
		return "draining"
	case PhaseOrdering:
		return "ordering"
	case PhaseLoading:
		return "loading"
	case PhaseProbing:
		return "probing"
	}
	panic("fleet: unknown phase")
}

// Want is the state that one engine is to reach for one model; empty Weights means unloaded.
type Want struct {
	Model    string
	Weights  string
	Adapters []string
	// From is the weights that the order is conditional on.
	From string
}

// String describes the order for logs.
func (w Want) String() string {
	if w.Weights == "" {
		return "unload " + w.Model + " if " + w.From
	}
	return "load " + w.Model + " " + w.Weights + " if " + w.From
}

// Rollout names the weights that a model is being brought to.
type Rollout struct {
	Model   string
	Weights string
}

func (w Want) rollout() Rollout { return Rollout{w.Model, w.Weights} }

// Change is the work on one engine.
type Change struct {
	Engine      netip.AddrPort
	Incarnation route.Incarnation
	Want        Want
	Phase       Phase
	Since       time.Time
	idleSince   time.Time
}

// Order asks an engine to make a change, while the engine is still the
// incarnation and has the weights that the change names.
type Order struct {
	Change Change
	// Fence is the fencing number of the lease that the order is sent under, Holder its holder.
	Fence  int64
	Holder string
}

// Step is what a planner asks its shell to do for one engine.
type Step struct {
	Change Change
	Engine Engine
}

// Steps are the results of one round of planning.
type Steps struct {
	// Holds are engines that must get no new work.
	Holds []Change
	// Orders are to be sent now, Probes to be tried now.
	Orders []Step
	Probes []Step
}

// Planner closes the difference between a pool's declaration and its engines,
// one engine after another. It keeps no promise in its memory: after a change
// of holder the next one starts from what the engines say.
type Planner struct {
	pool     string
	settings PlannerSettings
	changes  map[netip.AddrPort]*Change
	backoff  map[netip.AddrPort]time.Time
	failures map[Rollout]int
	stopped  map[Rollout]string
	revision int64
	// blocked says why nothing more is begun, empty if nothing holds back.
	blocked string
}

// PlannerSettings bound a planner.
type PlannerSettings struct {
	// MaxLoads is the number of engines of the pool that load at once.
	MaxLoads int
	// IdleTime is how long an engine must have been seen idle before an order,
	// which covers the lag of reports and of the routers hearing of the hold.
	IdleTime  time.Duration
	DrainTime time.Duration
	LoadTime  time.Duration
	Backoff   time.Duration
	// MaxFailures stops a rollout.
	MaxFailures int
}

// DefaultPlannerSettings returns the bounds that the programs use.
func DefaultPlannerSettings() PlannerSettings {
	return PlannerSettings{
		MaxLoads:    2,
		IdleTime:    1500 * time.Millisecond,
		DrainTime:   2 * time.Minute,
		LoadTime:    5 * time.Minute,
		Backoff:     5 * time.Second,
		MaxFailures: 2,
	}
}

// NewPlanner returns the planner of a pool.
func NewPlanner(pool string, s PlannerSettings) *Planner {
	return &Planner{
		pool:     pool,
		settings: s,
		changes:  make(map[netip.AddrPort]*Change),
		backoff:  make(map[netip.AddrPort]time.Time),
		failures: make(map[Rollout]int),
		stopped:  make(map[Rollout]string),
	}
}

// Plan takes the declaration and the engines' state and returns what to do now.
func (p *Planner) Plan(now time.Time, snap *policy.Snapshot, engines []Engine) Steps {
	if snap.Revision != p.revision {
		p.revision = snap.Revision
		clear(p.failures)
		clear(p.stopped)
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return a.Addr.Compare(b.Addr) })
	p.advance(now, snap, engines)
	p.begin(now, snap, engines)
	return p.steps(engines)
}

// advance moves the changes under way on by what their engines say.
func (p *Planner) advance(now time.Time, snap *policy.Snapshot, engines []Engine) {
	present := make(map[netip.AddrPort]bool, len(engines))
	members := p.replicaSet(snap, engines)
	for _, e := range engines {
		present[e.Addr] = true
		c, ok := p.changes[e.Addr]
		if !ok {
			continue
		}
		if c.Incarnation != e.Incarnation || !e.usable() || !p.stillWanted(snap, c, e, members) {
			delete(p.changes, e.Addr)
			continue
		}
		p.advanceOne(now, c, e)
	}
	for addr := range p.changes {
		if !present[addr] {
			delete(p.changes, addr)
		}
	}
}

// stillWanted reports whether a change that has not been ordered is still declared.
func (p *Planner) stillWanted(snap *policy.Snapshot, c *Change, e Engine, members map[netip.AddrPort]bool) bool {
	if c.Phase > PhaseOrdering {
		return true
	}
	w, ok := p.difference(snap, e, members)
	return ok && w.rollout() == c.Want.rollout()
}

func (p *Planner) advanceOne(now time.Time, c *Change, e Engine) {
	switch c.Phase {
	case PhaseDraining:
		if e.Busy > 0 {
			c.idleSince = now
		}
		switch {
		case now.Sub(c.idleSince) >= p.settings.IdleTime:
			p.setPhase(now, c, PhaseOrdering)
		case now.Sub(c.Since) > p.settings.DrainTime:
			p.fail(now, c, "did not drain")
		}
	case PhaseOrdering:
	case PhaseLoading:
		switch {
		case e.Weights[c.Want.Model] == c.Want.Weights && c.Want.Weights == "":
			delete(p.changes, c.Engine)
		case e.Weights[c.Want.Model] == c.Want.Weights:
			p.setPhase(now, c, PhaseProbing)
		case now.Sub(c.Since) > p.settings.LoadTime:
			p.fail(now, c, "was not read back with weights "+c.Want.Weights)
		}
	case PhaseProbing:
	default:
		panic("fleet: unknown phase")
	}
}

func (p *Planner) setPhase(now time.Time, c *Change, phase Phase) {
	c.Phase = phase
	c.Since = now
}

// fail gives a change up for a while; too many failures of one kind stop the
// rollout. Successes in between do not make up for them: an engine that failed
// has the new weights and serves badly.
func (p *Planner) fail(now time.Time, c *Change, why string) {
	delete(p.changes, c.Engine)
	p.backoff[c.Engine] = now.Add(p.settings.Backoff)
	key := c.Want.rollout()
	p.failures[key]++
	if p.failures[key] >= p.settings.MaxFailures {
		p.stopped[key] = fmt.Sprintf("%s %s", c.Engine, why)
	}
}

// Ordered takes the result of sending an order.
func (p *Planner) Ordered(now time.Time, engine netip.AddrPort, err error) {
	c, ok := p.changes[engine]
	if !ok || c.Phase != PhaseOrdering {
		return
	}
	if err != nil {
		p.fail(now, c, "refused the order: "+err.Error())
		return
	}
	p.setPhase(now, c, PhaseLoading)
}

// Probed takes the result of a probe.
func (p *Planner) Probed(now time.Time, engine netip.AddrPort, err error) {
	c, ok := p.changes[engine]
	if !ok || c.Phase != PhaseProbing {
		return
	}
	if err != nil {
		p.fail(now, c, "failed its probe: "+err.Error())
		return
	}
	delete(p.changes, engine)
}

// begin starts changes while the bounds on loads and the floors allow.
func (p *Planner) begin(now time.Time, snap *policy.Snapshot, engines []Engine) {
	members := p.replicaSet(snap, engines)
	p.blocked = ""
	for _, e := range engines {
		if p.active(engines) >= p.settings.MaxLoads {
			return
		}
		if _, busy := p.changes[e.Addr]; busy || !e.usable() || e.Loading || now.Before(p.backoff[e.Addr]) {
			continue
		}
		w, ok := p.difference(snap, e, members)
		if !ok || p.Stopped(w) != "" {
			continue
		}
		if !p.aboveFloor(snap, w, engines) {
			p.blocked = "the floor of " + w.Model + " leaves no engine to change"
			continue
		}
		p.changes[e.Addr] = &Change{Engine: e.Addr, Incarnation: e.Incarnation, Want: w, Since: now, idleSince: now}
	}
}

// active counts the engines that are being changed or load by someone's order.
func (p *Planner) active(engines []Engine) int {
	n := len(p.changes)
	for _, e := range engines {
		if _, ours := p.changes[e.Addr]; e.Loading && !ours {
			n++
		}
	}
	return n
}

// replicaSet returns which engines are to serve the pool's models: those that do
// already first, then by address, up to the declared number.
func (p *Planner) replicaSet(snap *policy.Snapshot, engines []Engine) map[netip.AddrPort]bool {
	pool, ok := snap.Pool(p.pool)
	if !ok || pool.Replicas == 0 {
		return nil
	}
	order := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return !e.usable() })
	slices.SortStableFunc(order, func(a, b Engine) int {
		return cmp.Or(-cmp.Compare(len(a.Weights), len(b.Weights)), a.Addr.Compare(b.Addr))
	})
	in := make(map[netip.AddrPort]bool)
	for _, e := range order[:min(pool.Replicas, len(order))] {
		in[e.Addr] = true
	}
	return in
}

// difference returns the first model whose weights at an engine are not as declared; nil members means all.
func (p *Planner) difference(snap *policy.Snapshot, e Engine, members map[netip.AddrPort]bool) (Want, bool) {
	declared := make(map[string]bool)
	for _, m := range snap.Config.Models {
		if m.Pool != p.pool {
			continue
		}
		declared[m.Name] = true
		have, loaded := e.Weights[m.Name]
		if members != nil && !members[e.Addr] {
			if loaded {
				return Want{Model: m.Name, From: have}, true
			}
			continue
		}
		if have != m.Weights {
			return Want{Model: m.Name, Weights: m.Weights, Adapters: m.Adapters, From: have}, true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.Weights)) {
		if !declared[name] {
			return Want{Model: name, From: e.Weights[name]}, true
		}
	}
	return Want{}, false
}

// aboveFloor reports whether an engine may stop serving the model it would change.
func (p *Planner) aboveFloor(snap *policy.Snapshot, w Want, engines []Engine) bool {
	if w.From == "" {
		return true
	}
	m, _, ok := snap.Model(w.Model)
	if !ok {
		return true
	}
	serving := 0
	for _, e := range engines {
		_, changing := p.changes[e.Addr]
		if _, serves := e.Weights[w.Model]; serves && e.usable() && !changing {
			serving++
		}
	}
	return serving-1 >= m.Floor
}

func (p *Planner) steps(engines []Engine) Steps {
	var s Steps
	for _, e := range engines {
		c, ok := p.changes[e.Addr]
		if !ok {
			continue
		}
		s.Holds = append(s.Holds, *c)
		switch c.Phase {
		case PhaseOrdering:
			s.Orders = append(s.Orders, Step{Change: *c, Engine: e})
		case PhaseProbing:
			s.Probes = append(s.Probes, Step{Change: *c, Engine: e})
		case PhaseDraining, PhaseLoading:
		default:
			panic("fleet: unknown phase")
		}
	}
	return s
}

// Stopped returns why the rollout of a model's weights stopped, or "" while it goes on.
func (p *Planner) Stopped(w Want) string {
	return p.stopped[w.rollout()]
}

// StoppedRollouts returns the stopped rollouts and why.
func (p *Planner) StoppedRollouts() map[Rollout]string { return maps.Clone(p.stopped) }

// Blocked says why no further change is begun, empty if nothing holds back.
func (p *Planner) Blocked() string { return p.blocked }

// Changes returns the changes under way, by engine.
func (p *Planner) Changes() []Change {
	var out []Change
	for _, c := range p.changes {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Change) int { return a.Engine.Compare(b.Engine) })
	return out
}

// Reset drops all changes under way, as the loss of the lease asks for.
func (p *Planner) Reset() { clear(p.changes) }
