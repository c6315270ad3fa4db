package soak

import (
	"fmt"
	"strings"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The keys that stay, and the organisations that they belong to; the second is isolated.
const (
	openKey     = "key-open"
	openOrg     = "open"
	isolatedKey = "key-walled"
	isolatedOrg = "walled"
)

// How many of the routes and keys that come with each version stay.
const (
	routesRetained = 3
	keysRetained   = 1
)

// The names of what comes with a version.
func versionPath(version int64) string { return fmt.Sprintf("/v%d/", version) }
func versionKey(version int64) string  { return fmt.Sprintf("key-%d", version) }
func versionOrg(version int64) string  { return fmt.Sprintf("org-%d", version) }

// movedPath is a route that each version moves to the other plain service.
const movedPath = "/move/"

// configAt returns the configuration of a version. Each brings a route and a key,
// takes away one of both, and moves a route, so that what a node does with a
// request tells which versions it can have.
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
		Limits:  platformtest.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMS: 3000, IdleMS: 15000},
	}
	for v := max(1, version-routesRetained+1); v <= version; v++ {
		c.Routes = append(c.Routes, route(versionPath(v), "idempotent", plainName, 2))
	}
	for v := max(1, version-keysRetained+1); v <= version; v++ {
		c.Tenants = append(c.Tenants, platformtest.Tenant{Name: versionOrg(v), Keys: []string{versionKey(v)}})
	}
	return c
}

// configOutcome is what became of a request as far as it depends on the configuration:
// the service that ran it, or that its path or its key was not known.
type configOutcome struct {
	service       string
	organisation  string
	noPath, noKey bool
}

// allows reports whether a configuration that has a request handled as h allows
// what was seen of it.
func (h configOutcome) allows(seen configOutcome) bool {
	if seen.noPath {
		return h.noPath
	}
	if seen.noKey {
		return h.noKey
	}
	return !h.noPath && !h.noKey && h.service == seen.service && (h.organisation == "" || h.organisation == seen.organisation)
}

// expectedOutcome returns how a configuration has a request handled.
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
