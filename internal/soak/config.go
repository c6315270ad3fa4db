package soak

import (
	"fmt"
	"strings"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The keys that every version contains, with their organisations. The second
// organisation is isolated.
const (
	openKey     = "key-open"
	openOrg     = "open"
	isolatedKey = "key-walled"
	isolatedOrg = "walled"
)

// Each version adds one route and one key. These are the numbers of the most recent of
// them that a version contains.
const (
	routesRetained = 3
	keysRetained   = 1
)

// versionPath, versionKey and versionOrg return the route prefix, the key and the
// organisation that a version adds.
func versionPath(version int64) string { return fmt.Sprintf("/v%d/", version) }
func versionKey(version int64) string  { return fmt.Sprintf("key-%d", version) }
func versionOrg(version int64) string  { return fmt.Sprintf("org-%d", version) }

// movedPath is a route that each version moves to the other one of the two plain services.
const movedPath = "/move/"

// idleLimitsMS are the limits for idle connections of callers in milliseconds, of one version after the other.
// Callers rest for longer than the lower ones.
var idleLimitsMS = []int64{15000, 1000, 2500}

// configAt returns the configuration of a version. Each version adds a route and a key,
// removes an older one of each, and moves a route to another service. The handling of a
// request therefore shows which versions a node may be using.
func configAt(version int64) platformtest.Config {
	route := func(prefix, kind, service string, attempts int) platformtest.Route {
		return platformtest.Route{
			Name: strings.Trim(prefix, "/"), Host: hostName, Prefix: prefix, Kind: kind, TimeoutMS: routeTime.Milliseconds(),
			AimMS: 1000, Priority: 1, Service: service, Attempts: attempts,
		}
	}
	resumable := route("/resume/", "streaming", engineName, 3)
	resumable.Resumable = true
	public := route("/public/", "idempotent", plainName, 2)
	public.Public = true
	c := platformtest.Config{
		Version: version,
		Routes: []platformtest.Route{
			route("/stream/", "streaming", engineName, 1), resumable, public,
			route("/once/", "non_idempotent", plainName, 1), route("/safe/", "idempotent", plainName, 2),
			route(movedPath, "idempotent", []string{plainName, spareName}[version%2], 2),
		},
		Services: []platformtest.Service{
			{Name: engineName, HealthPath: "/healthz", MaxConns: 300, Engine: &platformtest.Engine{
				Slots: 8, CacheTokens: 100000, TokenBytes: 1000, LinkMbps: 10000, CacheReaders: 8,
				Models: []platformtest.ModelName{{Name: modelName}},
			}},
			{Name: plainName, HealthPath: "/healthz", MaxConns: 100},
			{Name: spareName, HealthPath: "/healthz", MaxConns: 100},
		},
		Tenants: []platformtest.Tenant{{Name: openOrg, Keys: []string{openKey}}, {Name: isolatedOrg, Keys: []string{isolatedKey}, Isolated: true}},
		Limits:  platformtest.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMS: 3000, IdleMS: idleLimitsMS[version%int64(len(idleLimitsMS))]},
	}
	for v := max(1, version-routesRetained+1); v <= version; v++ {
		c.Routes = append(c.Routes, route(versionPath(v), "idempotent", plainName, 2))
	}
	for v := max(1, version-keysRetained+1); v <= version; v++ {
		c.Tenants = append(c.Tenants, platformtest.Tenant{Name: versionOrg(v), Keys: []string{versionKey(v)}})
	}
	return c
}

// configOutcome is the part of a request's outcome that depends on the configuration:
// the service and organisation that it ran with, or that its path or key was unknown.
type configOutcome struct {
	service       string
	organisation  string
	noPath, noKey bool
}

// allows reports whether the observed outcome is consistent with h, the outcome that
// a configuration prescribes.
func (h configOutcome) allows(seen configOutcome) bool {
	if seen.noPath {
		return h.noPath
	}
	if seen.noKey {
		return h.noKey
	}
	return !h.noPath && !h.noKey && h.service == seen.service && (h.organisation == "" || h.organisation == seen.organisation)
}

// expectedOutcome returns the outcome that a configuration prescribes for a request.
func expectedOutcome(c platformtest.Config, path, key string) configOutcome {
	h := configOutcome{noPath: true, noKey: true}
	public := false
	for _, r := range c.Routes {
		if strings.HasPrefix(path, r.Prefix) {
			h.noPath, h.service, public = false, r.Service, r.Public
		}
	}
	for _, t := range c.Tenants {
		if t.Keys[0] == key {
			h.noKey, h.organisation = false, t.Name
		}
	}
	if public {
		h.noKey, h.organisation = false, ""
	}
	return h
}
