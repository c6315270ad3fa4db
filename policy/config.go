package policy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Version is the only value of the version field that this program accepts.
const Version = "pathhead/v1"

// Config is one configuration as declared in the file.
type Config struct {
	Version       string         `yaml:"version" json:"version"`
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Groups        []Group        `yaml:"groups,omitempty" json:"groups,omitempty"`
	Pools         []Pool         `yaml:"pools" json:"pools"`
	Models        []Model        `yaml:"models,omitempty" json:"models,omitempty"`
	Routes        []Route        `yaml:"routes,omitempty" json:"routes,omitempty"`
	Policies      []Policy       `yaml:"policies,omitempty" json:"policies,omitempty"`
	Placement     Placement      `yaml:"placement,omitempty" json:"placement"`
	Requests      Requests       `yaml:"requests,omitempty" json:"requests"`
	// Open means that no route asks for a key. Without it, every route that is not public does, also if there is no
	// organisation.
	Open bool `yaml:"-" json:"-"`
	// UnknownKeys is set if some API keys could not be read, so that a key that is not known may be one of
	// them.
	UnknownKeys bool `yaml:"-" json:"-"`
}

// Organisation is a customer: its API keys, weight and limits.
type Organisation struct {
	Name   string            `yaml:"name" json:"name"`
	Labels map[string]string `yaml:"labels,omitempty" json:"labels,omitempty"`
	Keys   []Key             `yaml:"keys" json:"keys"`
	Weight float64           `yaml:"weight,omitempty" json:"weight,omitempty"`
	Limits Limits            `yaml:"limits,omitempty" json:"limits"`
	// SharesCache lets the organisation's cached prompt prefixes serve other organisations that
	// also share theirs, and vice versa.
	SharesCache bool `yaml:"sharesCache,omitempty" json:"sharesCache,omitempty"`
	// Priority overrides the priority of routes and policies if it is set.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Invalid is set if the organisation could not be read completely. Its requests are refused.
	Invalid bool `yaml:"-" json:"-"`
}

// Key is an API key, stored as the hexadecimal SHA-256 of its text.
type Key struct {
	ID     string `yaml:"id" json:"id"`
	SHA256 string `yaml:"sha256" json:"sha256"`
}

// Limits bounds an organisation across the whole fleet; zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`
	InFlight          int     `yaml:"inFlight,omitempty" json:"inFlight,omitempty"`
	// RequestBurst and TokenBurst are the bursts allowed on top of the rates; zero means one
	// second's worth.
	RequestBurst float64 `yaml:"requestBurst,omitempty" json:"requestBurst,omitempty"`
	TokenBurst   float64 `yaml:"tokenBurst,omitempty" json:"tokenBurst,omitempty"`
	// CallTokens is the number of tokens that a request of unknown size counts as.
	CallTokens int `yaml:"callTokens,omitempty" json:"callTokens,omitempty"`
}

// Group gives a weight and limits to the organisations that its selector matches, unless they set
// their own.
type Group struct {
	Name     string  `yaml:"name" json:"name"`
	Selector string  `yaml:"selector" json:"selector"`
	Weight   float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	Limits   Limits  `yaml:"limits,omitempty" json:"limits"`
}

// Kind is the kind of a pool's targets.
type Kind string

// The kinds of targets.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindKept    Kind = "kept"
)

// Pool is a set of targets chosen by their labels. A target belongs to it if it matches both the selector
// and the labels to match, of which at least one is set.
type Pool struct {
	Name string `yaml:"name" json:"name"`
	Kind Kind   `yaml:"kind" json:"kind"`
	// Selector is a label selector in the syntax of Kubernetes.
	Selector string `yaml:"selector,omitempty" json:"selector,omitempty"`
	// MatchLabels are labels that a target must have with exactly these values, which may be any text.
	MatchLabels map[string]string `yaml:"matchLabels,omitempty" json:"matchLabels,omitempty"`
	// Replicas is the number of targets that should serve each model of the pool; zero means all.
	Replicas int `yaml:"replicas,omitempty" json:"replicas,omitempty"`
	// Window is the number of requests that one target runs concurrently.
	Window int `yaml:"window,omitempty" json:"window,omitempty"`
	// ChecksFencing means that targets reject orders with an outdated fencing token.
	ChecksFencing bool `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
	// TrustRefusals means that a target's statement that it refused a request before running it is
	// trusted.
	TrustRefusals bool `yaml:"trustRefusals,omitempty" json:"trustRefusals,omitempty"`
	// Fetches means that an engine of the pool can fetch cached blocks from another engine.
	Fetches bool `yaml:"fetches,omitempty" json:"fetches,omitempty"`
	// LinkRate is the rate at which one engine of the pool sends cached blocks, in tokens per
	// second.
	LinkRate float64 `yaml:"linkRate,omitempty" json:"linkRate,omitempty"`
	// StoreRate is the rate of the link to the store that the pool's engines use, in tokens per
	// second.
	StoreRate float64 `yaml:"storeRate,omitempty" json:"storeRate,omitempty"`
	// CacheTokens is the cache capacity of one engine of the pool in tokens, or zero if unknown.
	CacheTokens int `yaml:"cacheTokens,omitempty" json:"cacheTokens,omitempty"`
	// CacheReaders is the number of routers that may follow one engine's cache events concurrently;
	// zero means none.
	CacheReaders int `yaml:"cacheReaders,omitempty" json:"cacheReaders,omitempty"`
	// MaxConns is the number of connections that one target accepts from all routers together; zero
	// means no limit.
	MaxConns int `yaml:"maxConns,omitempty" json:"maxConns,omitempty"`
}

// Model is a model that callers may name, with the weights that must serve it.
type Model struct {
	Name            string   `yaml:"name" json:"name"`
	Weights         string   `yaml:"weights" json:"weights"`
	Pool            string   `yaml:"pool" json:"pool"`
	Adapters        []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	MaxPromptTokens int      `yaml:"maxPromptTokens,omitempty" json:"maxPromptTokens,omitempty"`
	// Floor is the minimum number of serving replicas that a rollout must keep.
	Floor int `yaml:"floor,omitempty" json:"floor,omitempty"`
	// KeptPool names the pool that stores exported KV caches of this model.
	KeptPool string `yaml:"keptPool,omitempty" json:"keptPool,omitempty"`
}

// Route sends calls under a host and path to a pool.
type Route struct {
	Name string `yaml:"name" json:"name"`
	// Host is the host name that callers use; a route without one applies to every host.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	Path string `yaml:"path" json:"path"`
	Pool string `yaml:"pool" json:"pool"`
	// Split divides the route's calls between pools by weight; it replaces Pool.
	Split   []Share  `yaml:"split,omitempty" json:"split,omitempty"`
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// Aim is the target for the time to the first part of an answer; zero means none is set.
	Aim Duration `yaml:"aim,omitempty" json:"aim,omitempty"`
	// MaxGap is the target for the longest pause between the parts of a stream.
	MaxGap Duration `yaml:"maxGap,omitempty" json:"maxGap,omitempty"`
	// Attempts is the maximum number of targets that one call is sent to; zero means the program's
	// default.
	Attempts int `yaml:"attempts,omitempty" json:"attempts,omitempty"`
	// Priority orders waiting calls; the highest goes first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Public means that the route accepts calls without a key.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Streams means that answers are event streams; Resumable means that an interrupted one may
	// continue at another target.
	Streams   bool `yaml:"streams,omitempty" json:"streams,omitempty"`
	Resumable bool `yaml:"resumable,omitempty" json:"resumable,omitempty"`
	// Once means that every call of the route runs at most once.
	Once bool `yaml:"once,omitempty" json:"once,omitempty"`
	// NotRepeatable lists "METHOD /path" calls that run at most once.
	NotRepeatable []string `yaml:"notRepeatable,omitempty" json:"notRepeatable,omitempty"`
	// Invalid is set if more than the route's host and path could not be read. Its calls are refused.
	Invalid bool `yaml:"-" json:"-"`
}

// Share is a pool's share of a route's calls.
type Share struct {
	Pool   string `yaml:"pool" json:"pool"`
	Weight int    `yaml:"weight" json:"weight"`
}

// Policy changes how requests whose labels match its selector are served; the first match applies.
type Policy struct {
	Name     string `yaml:"name" json:"name"`
	Selector string `yaml:"selector" json:"selector"`
	Pool     string `yaml:"pool,omitempty" json:"pool,omitempty"`
	Priority int    `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Placement configures how candidate targets are scored.
type Placement struct {
	// RecomputeWeight is the cost of one second of prefill in seconds of time to first token.
	RecomputeWeight float64 `yaml:"recomputeWeight,omitempty" json:"recomputeWeight,omitempty"`
	// Horizon is the maximum age of a cached block that is still assumed to be present, until the
	// engine's own retention time is learned.
	Horizon Duration `yaml:"horizon,omitempty" json:"horizon,omitempty"`
}

// Requests sets bounds for all requests.
type Requests struct {
	Timeout      Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	QueueTimeout Duration `yaml:"queueTimeout,omitempty" json:"queueTimeout,omitempty"`
	MaxBody      Bytes    `yaml:"maxBody,omitempty" json:"maxBody,omitempty"`
	// RetryBudget is the fraction of requests that may be retried, from 0 to 1.
	RetryBudget float64 `yaml:"retryBudget,omitempty" json:"retryBudget,omitempty"`
	// RetryReserve is the number of retries of a pool beyond that fraction that all routers
	// together may make in a burst.
	RetryReserve float64 `yaml:"retryReserve,omitempty" json:"retryReserve,omitempty"`
	// RetryWindow is the time over which retries are counted against requests if a reserve is set.
	RetryWindow Duration `yaml:"retryWindow,omitempty" json:"retryWindow,omitempty"`
	// LimitOverage is the fraction by which all routers together may exceed an organisation's limit
	// for some seconds; LimitSlack is what they may use on top of that.
	LimitOverage float64 `yaml:"limitOverage,omitempty" json:"limitOverage,omitempty"`
	LimitSlack   float64 `yaml:"limitSlack,omitempty" json:"limitSlack,omitempty"`
}

// Duration is a time.Duration written with its unit, as in "250ms".
type Duration time.Duration

// UnmarshalYAML parses a duration and rejects a number without a unit.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	v, err := time.ParseDuration(scalar(node))
	if err != nil {
		return nodeProblem(node, "%q is not a duration with a unit such as 250ms or 5s", scalar(node))
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Bytes is a size written with its unit, as in "4MiB".
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalYAML parses a size and rejects a number without a unit.
func (b *Bytes) UnmarshalYAML(node ast.Node) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(scalar(node), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			break
		}
		*b = Bytes(n * u.factor)
		return nil
	}
	return nodeProblem(node, "%q is not a size with a unit such as 512KiB or 4MiB", scalar(node))
}

// scalar returns a node's text without quotes.
func scalar(node ast.Node) string { return node.GetToken().Value }

func nodeProblem(node ast.Node, format string, args ...any) *Problem {
	return &Problem{Line: node.GetToken().Position.Line, Message: fmt.Sprintf(format, args...)}
}

// MarshalText writes the size in bytes.
func (b Bytes) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(b), 10) + "B"), nil
}
