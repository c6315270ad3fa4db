package policy

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"
	"k8s.io/apimachinery/pkg/labels"
)

// Snapshot is a compiled configuration at one revision. It is immutable.
type Snapshot struct {
	Revision int64
	Config   *Config

	orgs  map[string]*Org
	keys  map[[sha256.Size]byte]compiledKey
	pools map[string]*CompiledPool
	// models holds the models by name, pooled those of each pool. Callers of the models' API name a model
	// alone, which is unique there; elsewhere the route decides the pool, and several may have one model.
	models   map[string]*Model
	pooled   map[modelKey]*Model
	policies []compiledPolicy
	calls    map[string]bool
	// routes holds the routes of each host, those with the longest path first.
	routes map[string][]*Route
}

// Org is an organisation with its group's weight and limits applied.
type Org struct {
	Name   string
	Labels labels.Set
	Weight float64
	Limits Limits
	// SharesCache and Priority are copied from the configuration.
	SharesCache bool
	Priority    *int
	// Invalid is set if the organisation's requests must be refused, since it could not be read.
	Invalid bool
}

// modelKey identifies a model in a pool.
type modelKey struct{ pool, name string }

// compiledKey is the hash of an API key with the organisation that it belongs to.
type compiledKey struct {
	sum [sha256.Size]byte
	org *Org
}

// CompiledPool is a pool with its selector parsed.
type CompiledPool struct {
	Pool
	selector labels.Selector
}

// Matches reports whether a target with these labels belongs to the pool.
func (p *CompiledPool) Matches(set map[string]string) bool {
	for name, want := range p.MatchLabels {
		if got, ok := set[name]; !ok || got != want {
			return false
		}
	}
	return p.selector.Matches(labels.Set(set))
}

type compiledPolicy struct {
	Policy
	selector labels.Selector
}

// Compile prepares a validated configuration for use at a revision. It fails if a selector or a key
// does not parse.
func Compile(cfg *Config, revision int64) (*Snapshot, error) {
	s := &Snapshot{
		Revision: revision,
		Config:   cfg,
		orgs:     make(map[string]*Org),
		keys:     make(map[[sha256.Size]byte]compiledKey),
		pools:    make(map[string]*CompiledPool),
		models:   make(map[string]*Model),
		pooled:   make(map[modelKey]*Model),
		calls:    make(map[string]bool),
		routes:   make(map[string][]*Route),
	}
	if err := s.compileOrgs(); err != nil {
		return nil, err
	}
	if err := s.compilePools(); err != nil {
		return nil, err
	}
	for i := range cfg.Models {
		m := &cfg.Models[i]
		s.models[m.Name] = m
		s.pooled[modelKey{m.Pool, m.Name}] = m
	}
	s.compileRoutes()
	for _, r := range cfg.Routes {
		for _, call := range r.NotRepeatable {
			s.calls[call] = true
		}
	}
	return s, nil
}

func (s *Snapshot) compileOrgs() error {
	groups := make([]labels.Selector, len(s.Config.Groups))
	for i, g := range s.Config.Groups {
		sel, err := labels.Parse(g.Selector)
		if err != nil {
			return errs.Errorf("group %q: %w", g.Name, err)
		}
		groups[i] = sel
	}
	for _, o := range s.Config.Organisations {
		org := &Org{Name: o.Name, Labels: orgLabels(o), Weight: o.Weight, Limits: o.Limits, SharesCache: o.SharesCache, Priority: o.Priority, Invalid: o.Invalid}
		for i, sel := range groups {
			if sel.Matches(org.Labels) {
				org.inherit(s.Config.Groups[i])
				break
			}
		}
		setDefault(&org.Weight, defaultWeight)
		s.orgs[o.Name] = org
		for _, key := range o.Keys {
			sum, err := hex.DecodeString(key.SHA256)
			if err != nil || len(sum) != sha256.Size {
				return errs.Errorf("organisation %q: key %q is not a hexadecimal SHA-256", o.Name, key.ID)
			}
			digest := [sha256.Size]byte(sum)
			s.keys[digest] = compiledKey{sum: digest, org: org}
		}
	}
	return nil
}

// orgLabels adds the organisation's name to its labels, so that selectors can match a single
// organisation.
func orgLabels(o Organisation) labels.Set {
	set := labels.Set{"organisation": o.Name}
	for k, v := range o.Labels {
		set[k] = v
	}
	return set
}

func (o *Org) inherit(g Group) {
	setDefault(&o.Weight, g.Weight)
	setDefault(&o.Limits.RequestsPerSecond, g.Limits.RequestsPerSecond)
	setDefault(&o.Limits.TokensPerSecond, g.Limits.TokensPerSecond)
	setDefault(&o.Limits.InFlight, g.Limits.InFlight)
	setDefault(&o.Limits.RequestBurst, g.Limits.RequestBurst)
	setDefault(&o.Limits.TokenBurst, g.Limits.TokenBurst)
	setDefault(&o.Limits.CallTokens, g.Limits.CallTokens)
}

func (s *Snapshot) compilePools() error {
	for _, p := range s.Config.Pools {
		sel, err := labels.Parse(p.Selector)
		if err != nil {
			return errs.Errorf("pool %q: %w", p.Name, err)
		}
		s.pools[p.Name] = &CompiledPool{Pool: p, selector: sel}
	}
	for _, p := range s.Config.Policies {
		sel, err := labels.Parse(p.Selector)
		if err != nil {
			return errs.Errorf("policy %q: %w", p.Name, err)
		}
		s.policies = append(s.policies, compiledPolicy{Policy: p, selector: sel})
	}
	return nil
}

// Authenticate returns the organisation that an API key belongs to.
//
// The key is hashed before the lookup, so that timing can only reveal a hash that an attacker
// cannot choose; the final comparison takes constant time.
func (s *Snapshot) Authenticate(key string) (*Org, bool) {
	sum := sha256.Sum256([]byte(key))
	k, ok := s.keys[sum]
	if !ok || subtle.ConstantTimeCompare(k.sum[:], sum[:]) != 1 {
		return nil, false
	}
	return k.org, true
}

// NeedsKey reports whether calls of a route must have the key of an organisation.
func (s *Snapshot) NeedsKey(r *Route) bool { return !r.Public && !s.Config.Open }

// Org returns an organisation by name.
func (s *Snapshot) Org(name string) (*Org, bool) {
	o, ok := s.orgs[name]
	return o, ok
}

// Pool returns a pool by name.
func (s *Snapshot) Pool(name string) (*CompiledPool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools returns the pools in the order of the file.
func (s *Snapshot) Pools() []*CompiledPool {
	out := make([]*CompiledPool, 0, len(s.pools))
	for _, p := range s.Config.Pools {
		out = append(out, s.pools[p.Name])
	}
	return out
}

// Model returns a model by the name that callers use, which may include an adapter as
// model:adapter. A model that has the whole name goes before an adapter.
func (s *Snapshot) Model(name string) (m *Model, adapter string, ok bool) {
	return findModel(name, func(name string) *Model { return s.models[name] })
}

// ModelAt returns a model of a pool by the name that callers use.
func (s *Snapshot) ModelAt(pool, name string) (m *Model, adapter string, ok bool) {
	return findModel(name, func(name string) *Model { return s.pooled[modelKey{pool, name}] })
}

// findModel looks a model up by the name that callers use. Names of models and adapters may contain colons,
// so that each colon may be where the adapter begins.
func findModel(name string, lookup func(name string) *Model) (*Model, string, bool) {
	if m := lookup(name); m != nil {
		return m, "", true
	}
	for i := range len(name) {
		if name[i] != ':' {
			continue
		}
		if m := lookup(name[:i]); m != nil && slices.Contains(m.Adapters, name[i+1:]) {
			return m, name[i+1:], true
		}
	}
	return nil, "", false
}

func (s *Snapshot) compileRoutes() {
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		s.routes[r.Host] = append(s.routes[r.Host], r)
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}

// RouteFor returns the route of a host with the longest path that is a prefix of the given one.
// Routes without a host apply if no route of the host matches.
func (s *Snapshot) RouteFor(host, path string) (*Route, bool) {
	for _, h := range [...]string{host, ""} {
		for _, r := range s.routes[h] {
			if strings.HasPrefix(path, r.Path) {
				return r, true
			}
		}
	}
	return nil, false
}

// Repeatable reports whether a call to a plain service may be sent more than once.
func (s *Snapshot) Repeatable(method, path string) bool {
	return !s.calls[method+" "+strings.TrimSuffix(path, "/")] && !s.calls[method+" "+path]
}

// PolicyFor returns the first policy whose selector matches the labels.
func (s *Snapshot) PolicyFor(set map[string]string) (Policy, bool) {
	for _, p := range s.policies {
		if p.selector.Matches(labels.Set(set)) {
			return p.Policy, true
		}
	}
	return Policy{}, false
}

// Timeout returns the time limit of a request, counted from its arrival.
func (s *Snapshot) Timeout() time.Duration { return time.Duration(s.Config.Requests.Timeout) }

// Unmatched returns a warning for each pool whose selector matches none of the given label sets.
func (s *Snapshot) Unmatched(targets []map[string]string) []*Problem {
	var out []*Problem
	for i, p := range s.Pools() {
		if matchesAny(p, targets) {
			continue
		}
		out = append(out, &Problem{
			Path:    fmt.Sprintf("pools[%d].selector", i),
			Message: fmt.Sprintf("%q matches no target", p.selectorText()),
			Warning: true,
		})
	}
	return out
}

// selectorText returns what the pool's targets must match, for operators.
func (p *CompiledPool) selectorText() string {
	if len(p.MatchLabels) == 0 {
		return p.Selector
	}
	return strings.TrimPrefix(p.Selector+","+labels.Set(p.MatchLabels).String(), ",")
}

func matchesAny(p *CompiledPool, targets []map[string]string) bool {
	for _, set := range targets {
		if p.Matches(set) {
			return true
		}
	}
	return false
}
