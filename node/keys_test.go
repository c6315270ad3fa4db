package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
)

// keyChanges are configurations that differ in whether and for whom the route /x/ asks for a key.
var keyChanges = map[string]func(*policy.Config){
	"open":   func(c *policy.Config) { c.Open = true },
	"public": func(c *policy.Config) { c.Routes[0].Public = true },
	"key of a": func(c *policy.Config) {
		c.Organisations = []policy.Organisation{{Name: "a", Keys: []policy.Key{keyOf("k")}}}
	},
	"key of b": func(c *policy.Config) {
		c.Organisations = []policy.Organisation{{Name: "b", Keys: []policy.Key{keyOf("k")}}}
	},
	"no organisation":  func(c *policy.Config) {},
	"one without keys": func(c *policy.Config) { c.Organisations = []policy.Organisation{{Name: "a"}} },
	"key of an unread one": func(c *policy.Config) {
		c.Organisations = []policy.Organisation{{Name: "a", Invalid: true, Keys: []policy.Key{keyOf("k")}}}
	},
	"unread route":   func(c *policy.Config) { c.Routes[0].Invalid = true },
	"no route, open": func(c *policy.Config) { c.Open, c.Routes = true, nil },
	"no route":       func(c *policy.Config) { c.Routes = nil },
}

// orgUnder returns for whom a request with the key k is admitted; ok is false if it is refused. A request
// without an organisation needs no key.
func orgUnder(change string) (org string, ok bool) {
	switch change {
	case "open", "public":
		return "", true
	case "key of a":
		return "a", true
	case "key of b":
		return "b", true
	}
	return "", false
}

// Guards against a route that is open to everybody once the last organisation is gone, and against requests that were
// admitted without a key, or for another organisation, and are sent after a configuration that would not
// admit them so.
func TestKeysOverChanges(t *testing.T) {
	for from := range keyChanges {
		org, admitted := orgUnder(from)
		for to := range keyChanges {
			t.Run(from+" to "+to, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newDeclaredNode(t)
					adopt := func(revision int64, change func(*policy.Config)) {
						n.declare(revision, func(c *policy.Config) {
							c.Routes, c.Organisations = []policy.Route{{Name: "x", Path: "/x/", Pool: simPool}}, nil
							change(c)
						})
					}
					adopt(1, keyChanges[from])
					v := &callerRequest{
						w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x/y?z", nil), uri: "/x/y?z", info: RequestInfo{Key: "k"},
					}
					require.Equal(t, admitted, n.admit(v))
					if !admitted {
						return
					}
					require.Equal(t, org, v.orgName())
					f := &forwarding{n: n.Node, v: v}
					require.True(t, f.stillAllowed())
					adopt(2, keyChanges[to])
					newOrg, admits := orgUnder(to)
					switch to {
					case "no route, open":
						admits, newOrg = org == "", ""
					case "no route":
						// A call of a public route that is gone may end by its rules.
						admits, newOrg = from == "public", ""
					}
					if org != "" && (to == "open" || to == "public") {
						// The organisation's key is not in the newer configuration.
						admits = false
					}
					require.Equal(t, admits && newOrg == org, f.stillAllowed())
				})
			})
		}
	}
}
