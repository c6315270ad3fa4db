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

// Engine is the state of one engine of the pool as a planner sees it.
type Engine struct {
	Addr        netip.AddrPort
	Name        string
	Incarnation route.Incarnation
	// Weights maps the models that the engine serves to their weights.
	Weights map[string]string
	Loading bool
	Leaving bool
	// Reachable is false after failed polls.
	Reachable bool
	// Busy is the number of requests that it runs or has queued, from its own report and from the
	// routers.
	Busy int
}

func (e Engine) usable() bool { return e.Reachable && !e.Leaving }

// Phase is the progress of the change of one engine.
type Phase int

// The phases of a change, in order.
const (
	// PhaseDraining keeps new requests away from the engine and waits until none are running.
	PhaseDraining Phase = iota
	// PhaseOrdering waits for the order to be sent.
	PhaseOrdering
	// PhaseLoading waits until the engine reports the desired state.
	PhaseLoading
	// PhaseProbing tests the new state with a small request.
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

// Want is the desired state of one engine for one model; empty Weights means unloaded.
type Want struct {
	Model    string
	Weights  string
	Adapters []string
	// From is the weights that the engine must have for the order to apply.
	From string
}

// String describes the order for logs.
func (w Want) String() string {
	if w.Weights == "" {
		return "unload " + w.Model + " if " + w.From
	}
	return "load " + w.Model + " " + w.Weights + " if " + w.From
}

// Rollout names the weights that a model is being changed to.
type Rollout struct {
	Model   string
	Weights string
}

func (w Want) rollout() Rollout { return Rollout{w.Model, w.Weights} }

// Change is a change in progress on one engine.
type Change struct {
	Engine      netip.AddrPort
	Incarnation route.Incarnation
	Want        Want
	Phase       Phase
	Since       time.Time
	idleSince   time.Time
}

// Order asks an engine to make a change. It applies only while the engine has the incarnation and
// weights that the change names.
type Order struct {
	Change Change
	// Fence is the fencing token of the lease under which the order is sent; Holder is that lease's
	// holder.
	Fence  int64
	Holder string
}

// Step is an action that the planner's caller must carry out for one engine.
type Step struct {
	Change Change
	Engine Engine
}

// Steps is the result of one planning round.
type Steps struct {
	// Holds are engines that must not receive new requests.
	Holds []Change
	// Orders must be sent now; Probes must be run now.
	Orders []Step
	Probes []Step
}

// Planner reconciles a pool's declared state with its engines, a few engines at a time. It keeps no
// state that must survive: after a change of lease holder the new planner starts from what the
// engines report.
type Planner struct {
	pool     string
	settings PlannerSettings
	changes  map[netip.AddrPort]*Change
	backoff  map[netip.AddrPort]time.Time
	failures map[Rollout]int
	stopped  map[Rollout]string
	revision int64
	// blocked is the reason why no further change is started, or empty.
	blocked string
}

// PlannerSettings configures a planner.
type PlannerSettings struct {
	// MaxLoads is the maximum number of engines of the pool that load at the same time.
	MaxLoads int
	// IdleTime is how long an engine must have been idle before an order is sent. It covers the
	// delay of reports and of routers learning about the hold.
	IdleTime  time.Duration
	DrainTime time.Duration
	LoadTime  time.Duration
	Backoff   time.Duration
	// MaxFailures is the number of failures after which a rollout stops.
	MaxFailures int
}

// DefaultPlannerSettings returns the settings that the programs use.
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

// Plan compares the declared state with the engines' state and returns what to do now.
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

// advance updates the changes in progress from the state of their engines.
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

// stillWanted reports whether a change is still declared. A change that was already ordered always
// counts as wanted.
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
			p.fail(now, c, "did not drain in time")
		}
	case PhaseOrdering:
	case PhaseLoading:
		switch {
		case e.Weights[c.Want.Model] == c.Want.Weights && c.Want.Weights == "":
			delete(p.changes, c.Engine)
		case e.Weights[c.Want.Model] == c.Want.Weights:
			p.setPhase(now, c, PhaseProbing)
		case now.Sub(c.Since) > p.settings.LoadTime:
			p.fail(now, c, "did not report the weights in time: "+c.Want.Weights)
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

// fail abandons a change and delays the next attempt on its engine; too many failures of one
// rollout stop it. Successes in between do not offset failures: an engine that failed may have the
// new weights and serve badly.
func (p *Planner) fail(now time.Time, c *Change, why string) {
	delete(p.changes, c.Engine)
	p.backoff[c.Engine] = now.Add(p.settings.Backoff)
	key := c.Want.rollout()
	p.failures[key]++
	if p.failures[key] >= p.settings.MaxFailures {
		p.stopped[key] = fmt.Sprintf("%s %s", c.Engine, why)
	}
}

// Ordered records the result of sending an order.
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

// Probed records the result of a probe.
func (p *Planner) Probed(now time.Time, engine netip.AddrPort, err error) {
	c, ok := p.changes[engine]
	if !ok || c.Phase != PhaseProbing {
		return
	}
	if err != nil {
		p.fail(now, c, "probe failed: "+err.Error())
		return
	}
	delete(p.changes, engine)
}

// begin starts changes while the load limit and the floors allow.
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

// active counts the engines that are being changed or that load because of someone else's order.
func (p *Planner) active(engines []Engine) int {
	n := len(p.changes)
	for _, e := range engines {
		if _, ours := p.changes[e.Addr]; e.Loading && !ours {
			n++
		}
	}
	return n
}

// replicaSet returns the engines that must serve the pool's models, up to the declared number:
// those that serve already come first, then by address. It returns nil if all engines serve.
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

// difference returns the desired state of the first model whose weights at an engine differ from
// the declared ones; nil members means all engines.
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

// aboveFloor reports whether the engine may stop serving the model without taking it below its
// floor.
func (p *Planner) aboveFloor(snap *policy.Snapshot, w Want, engines []Engine) bool {
	if w.From == "" {
		return true
	}
	m, _, ok := snap.ModelAt(p.pool, w.Model)
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

// Stopped returns why the rollout of a model's weights stopped, or "" if it has not.
func (p *Planner) Stopped(w Want) string {
	return p.stopped[w.rollout()]
}

// StoppedRollouts returns the stopped rollouts with the reason for each.
func (p *Planner) StoppedRollouts() map[Rollout]string { return maps.Clone(p.stopped) }

// Blocked returns why no further change is started, or "" if nothing blocks it.
func (p *Planner) Blocked() string { return p.blocked }

// Changes returns the changes in progress, ordered by engine.
func (p *Planner) Changes() []Change {
	var out []Change
	for _, c := range p.changes {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Change) int { return a.Engine.Compare(b.Engine) })
	return out
}

// Reset drops all changes in progress. It is called when the lease is lost.
func (p *Planner) Reset() { clear(p.changes) }
