package policy

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Defaults of omitted fields, and upper bounds.
const (
	defaultWeight          = 1.0
	defaultWindow          = 8
	defaultMaxPromptTokens = 32768
	defaultRouteTimeout    = 10 * time.Second
	defaultTimeout         = 2 * time.Minute
	defaultQueueTimeout    = 10 * time.Second
	defaultMaxBody         = 4 << 20
	defaultRetryBudget     = 0.1
	defaultRecomputeWeight = 1.0
	defaultHorizon         = 20 * time.Second
	maxTimeout             = time.Hour
	maxBodyBound           = 64 << 20
)

// setDefaults fills in omitted fields, so that the stored configuration is complete.
func (c *Config) setDefaults() {
	for i := range c.Pools {
		p := &c.Pools[i]
		setDefault(&p.Window, defaultWindow)
	}
	for i := range c.Models {
		m := &c.Models[i]
		setDefault(&m.MaxPromptTokens, defaultMaxPromptTokens)
		setDefault(&m.Floor, 1)
	}
	for i := range c.Routes {
		setDefault(&c.Routes[i].Timeout, Duration(defaultRouteTimeout))
	}
	setDefault(&c.Placement.RecomputeWeight, defaultRecomputeWeight)
	setDefault(&c.Placement.Horizon, Duration(defaultHorizon))
	setDefault(&c.Requests.Timeout, Duration(defaultTimeout))
	setDefault(&c.Requests.QueueTimeout, Duration(defaultQueueTimeout))
	setDefault(&c.Requests.MaxBody, defaultMaxBody)
	setDefault(&c.Requests.RetryBudget, defaultRetryBudget)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// checker collects problems while it validates a configuration section by section.
type checker struct {
	problems []*Problem
	pools    map[string]Kind
}

func (c *Config) validate() []*Problem {
	k := &checker{pools: make(map[string]Kind)}
	if c.Version != Version {
		k.add("version", "is %q, must be %q", c.Version, Version)
	}
	k.checkOrganisations(c.Organisations)
	k.checkGroups(c.Groups)
	k.checkPools(c.Pools)
	k.checkModels(c.Models)
	k.checkRoutes(c.Routes)
	k.checkPolicies(c.Policies)
	k.checkBounds(c.Placement, c.Requests)
	return k.problems
}

func (k *checker) add(path, format string, args ...any) {
	k.problems = append(k.problems, &Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// namePattern limits names to what is valid in label values, table keys and metric labels.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]{0,61}[a-zA-Z0-9])?$`)

// name checks that a name is well-formed and unique in its section.
func (k *checker) name(path, name string, seen map[string]bool) {
	switch {
	case !namePattern.MatchString(name):
		k.add(path, "%q is not a name of 1 to 63 letters, digits, dots, dashes and underscores", name)
	case seen[name]:
		k.add(path, "%q is a duplicate", name)
	}
	seen[name] = true
}

func (k *checker) selector(path, text string) {
	if text == "" {
		k.add(path, "is missing")
		return
	}
	if _, err := labels.Parse(text); err != nil {
		k.add(path, "%v", err)
	}
}

func (k *checker) pool(path, name string, want Kind) {
	kind, ok := k.pools[name]
	switch {
	case !ok:
		k.add(path, "no pool is named %q", name)
	case kind != want:
		k.add(path, "pool %q is of kind %s, must be %s", name, kind, want)
	}
}

func (k *checker) limits(path string, l Limits) {
	for _, v := range []float64{l.RequestsPerSecond, l.TokensPerSecond, l.RequestBurst, l.TokenBurst, float64(l.InFlight), float64(l.CallTokens)} {
		if !(v >= 0) || math.IsInf(v, 1) {
			k.add(path, "limits must be non-negative numbers")
			return
		}
	}
}

func (k *checker) checkOrganisations(orgs []Organisation) {
	names := make(map[string]bool)
	hashes := make(map[string]string)
	for i, o := range orgs {
		path := fmt.Sprintf("organisations[%d]", i)
		k.name(path+".name", o.Name, names)
		if o.Weight < 0 {
			k.add(path+".weight", "must not be negative")
		}
		k.limits(path+".limits", o.Limits)
		k.checkKeys(path, o, hashes)
	}
}

func (k *checker) checkKeys(path string, o Organisation, hashes map[string]string) {
	ids := make(map[string]bool)
	for j, key := range o.Keys {
		at := fmt.Sprintf("%s.keys[%d]", path, j)
		k.name(at+".id", key.ID, ids)
		sum, err := hex.DecodeString(key.SHA256)
		if err != nil || len(sum) != 32 {
			k.add(at+".sha256", "must be 64 hexadecimal digits, the SHA-256 of the key")
			continue
		}
		sha := strings.ToLower(key.SHA256)
		if other, ok := hashes[sha]; ok {
			k.add(at+".sha256", "the key also belongs to organisation %q", other)
		}
		hashes[sha] = o.Name
	}
}

func (k *checker) checkGroups(groups []Group) {
	names := make(map[string]bool)
	for i, g := range groups {
		path := fmt.Sprintf("groups[%d]", i)
		k.name(path+".name", g.Name, names)
		k.selector(path+".selector", g.Selector)
		if g.Weight < 0 {
			k.add(path+".weight", "must not be negative")
		}
		k.limits(path+".limits", g.Limits)
	}
}

func (k *checker) checkPools(pools []Pool) {
	names := make(map[string]bool)
	for i, p := range pools {
		path := fmt.Sprintf("pools[%d]", i)
		k.name(path+".name", p.Name, names)
		if p.Selector != "" || len(p.MatchLabels) == 0 {
			k.selector(path+".selector", p.Selector)
		}
		switch p.Kind {
		case KindEngine, KindService, KindKept:
		default:
			k.add(path+".kind", "is %q, must be engine, service or kept", p.Kind)
		}
		if p.Window < 0 || p.Replicas < 0 {
			k.add(path, "window and replicas must not be negative")
		}
		k.pools[p.Name] = p.Kind
	}
}

func (k *checker) checkModels(models []Model) {
	names := make(map[string]bool)
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		k.name(path+".name", m.Name, names)
		k.pool(path+".pool", m.Pool, KindEngine)
		if m.Weights == "" {
			k.add(path+".weights", "is missing")
		}
		if m.MaxPromptTokens < 0 || m.Floor < 0 {
			k.add(path, "maxPromptTokens and floor must not be negative")
		}
		if m.KeptPool != "" {
			k.pool(path+".keptPool", m.KeptPool, KindKept)
		}
		adapters := make(map[string]bool)
		for j, a := range m.Adapters {
			k.name(fmt.Sprintf("%s.adapters[%d]", path, j), a, adapters)
		}
	}
}

// callPattern matches an entry of notRepeatable.
var callPattern = regexp.MustCompile(`^(POST|PUT|PATCH|DELETE|GET) /\S*$`)

// reservedPath is the path of the models' API. A route without a host must not hide it.
const reservedPath = "/v1/"

func (k *checker) checkRoutes(routes []Route) {
	names := make(map[string]bool)
	paths := make(map[[2]string]bool)
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		k.name(path+".name", r.Name, names)
		if len(r.Split) == 0 {
			k.pool(path+".pool", r.Pool, KindService)
		}
		for j, share := range r.Split {
			k.pool(fmt.Sprintf("%s.split[%d].pool", path, j), share.Pool, KindService)
		}
		switch {
		case !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/"):
			k.add(path+".path", "%q must begin and end with a slash", r.Path)
		case r.Host == "" && (r.Path == "/" || strings.HasPrefix(r.Path, reservedPath)):
			k.add(path+".path", "%q would hide the models' own paths", r.Path)
		case paths[[2]string{r.Host, r.Path}]:
			k.add(path+".path", "%q is a duplicate", r.Path)
		}
		paths[[2]string{r.Host, r.Path}] = true
		k.checkRange(path+".timeout", time.Duration(r.Timeout), maxTimeout)
		for j, call := range r.NotRepeatable {
			at := fmt.Sprintf("%s.notRepeatable[%d]", path, j)
			if !callPattern.MatchString(call) {
				k.add(at, "%q must be a method and a path, as in \"POST /seat\"", call)
			} else if _, p, _ := strings.Cut(call, " "); !strings.HasPrefix(p, r.Path) {
				k.add(at, "%q is not under the route's path %q", p, r.Path)
			}
		}
	}
}

func (k *checker) checkPolicies(policies []Policy) {
	names := make(map[string]bool)
	for i, p := range policies {
		path := fmt.Sprintf("policies[%d]", i)
		k.name(path+".name", p.Name, names)
		k.selector(path+".selector", p.Selector)
		if p.Pool != "" {
			k.pool(path+".pool", p.Pool, KindEngine)
		}
	}
}

func (k *checker) checkBounds(p Placement, r Requests) {
	if p.RecomputeWeight < 0 {
		k.add("placement.recomputeWeight", "must not be negative")
	}
	k.checkRange("placement.horizon", time.Duration(p.Horizon), maxTimeout)
	k.checkRange("requests.timeout", time.Duration(r.Timeout), maxTimeout)
	k.checkRange("requests.queueTimeout", time.Duration(r.QueueTimeout), maxTimeout)
	if r.MaxBody < 0 || r.MaxBody > maxBodyBound {
		k.add("requests.maxBody", "must be from 1B to %dB", maxBodyBound)
	}
	if r.RetryBudget < 0 || r.RetryBudget > 1 {
		k.add("requests.retryBudget", "must be from 0 to 1")
	}
	if r.LimitOverage < 0 || r.LimitOverage > 1 || r.LimitSlack < 0 {
		k.add("requests.limitOverage", "must be from 0 to 1, and limitSlack not negative")
	}
}

func (k *checker) checkRange(path string, d, maximum time.Duration) {
	if d <= 0 || d > maximum {
		k.add(path, "is %s, must be more than 0 and at most %s", d, maximum)
	}
}
