package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/policy"
)

// declaredNode is a node with a configuration of a public route /open/ and a route /closed/ for the key k.
type declaredNode struct {
	*Node
	t     *testing.T
	store *simStore
}

func newDeclaredNode(t *testing.T) *declaredNode {
	store := newSimStore(1)
	n, err := New(validSettings(), store, plainProtocol{}, store)
	require.NoError(t, err)
	return &declaredNode{Node: n, t: t, store: store}
}

// declared returns the configuration with a change.
func (n *declaredNode) declared(revision int64, change func(*policy.Config)) *Declared {
	d, err := n.store.Parse(revision, "one")
	require.NoError(n.t, err)
	d.Config.Open = false
	d.Config.Routes = []policy.Route{{Name: "o", Path: "/open/", Pool: simPool, Public: true}, {Name: "c", Path: "/closed/", Pool: simPool}}
	d.Config.Organisations = []policy.Organisation{{Name: "org", Keys: []policy.Key{keyOf("k")}}}
	if change != nil {
		change(d.Config)
	}
	return d
}

// declare brings the node an answer of the store with the configuration.
func (n *declaredNode) declare(revision int64, change func(*policy.Config)) {
	n.applyChanges(time.Now(), Changes{Declared: n.declared(revision, change)})
}

// admission returns the status of a refused request, or zero if it is admitted.
func (n *Node) admission(path, key string) int {
	w := httptest.NewRecorder()
	if n.admit(&callerRequest{w: w, r: httptest.NewRequest(http.MethodGet, path, nil), uri: path, info: RequestInfo{Key: key}}) {
		return 0
	}
	return w.Code
}

// Guards against a newer revision that cannot be read or compiled while the store's further answers confirm the
// previous one as the newest: keys that it takes away stayed in force for as long as the process lived.
func TestUnreadableConfiguration(t *testing.T) {
	for name, change := range map[string]func(n *declaredNode) Changes{
		"unreadable": func(*declaredNode) Changes {
			return Changes{Unreadable: 2, Rejected: errs.Errorf("odd")}
		},
		"does not compile": func(n *declaredNode) Changes {
			return Changes{Declared: n.declared(2, func(c *policy.Config) { c.Organisations[0].Keys[0].SHA256 = "?" })}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newDeclaredNode(t)
				n.declare(1, nil)
				require.Zero(t, n.admission("/closed/", "k"))

				bound := n.settings().Bounds.Apply
				n.applyChanges(time.Now(), change(n))
				for begun := time.Now(); time.Since(begun) < 2*bound; time.Sleep(bound / 20) {
					n.applyChanges(time.Now(), Changes{})
					for _, path := range []string{"/open/", "/closed/"} {
						if got := n.admission(path, "k"); time.Since(begun) > bound {
							require.Equal(t, http.StatusServiceUnavailable, got, "%s after %s", path, time.Since(begun))
						} else if time.Since(begun) < bound/2 {
							require.Zero(t, got, "%s after %s", path, time.Since(begun))
						}
					}
					require.Equal(t, http.StatusServiceUnavailable, n.admission("/none/", "k"), "the newer revision may have the route")
				}
				require.True(t, n.configStatus().behind)
				require.False(t, n.ready())

				n.declare(3, nil)
				require.Zero(t, n.admission("/open/", ""))
				require.Zero(t, n.admission("/closed/", "k"))
				require.Equal(t, http.StatusNotFound, n.admission("/none/", "k"))
			})
		})
	}
}

// Guards against a rejected row that keeps the configuration from being confirmed: weights, a roll-out, or bytes of
// another writer in the place of a configuration.
func TestRejectedRowConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDeclaredNode(t)
		n.declare(1, nil)
		for range 20 {
			time.Sleep(n.settings().Bounds.Apply / 5)
			n.applyChanges(time.Now(), Changes{Rejected: errs.Errorf("odd")})
			require.Zero(t, n.admission("/closed/", "k"))
		}
	})
}

// Guards against a route or an organisation that cannot be read and is answered as if it were not there, and
// against unknown keys that are rejected while some keys of the revision could not be read.
func TestUnreadableEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDeclaredNode(t)
		n.declare(1, func(c *policy.Config) { c.Routes[0].Invalid = true })
		require.Equal(t, http.StatusServiceUnavailable, n.admission("/open/", ""))
		require.Zero(t, n.admission("/closed/", "k"))
		n.declare(2, func(c *policy.Config) { c.Organisations[0].Invalid = true })
		require.Zero(t, n.admission("/open/", ""))
		require.Equal(t, http.StatusServiceUnavailable, n.admission("/closed/", "k"))
		require.Equal(t, http.StatusUnauthorized, n.admission("/closed/", "z"))
		n.declare(3, func(c *policy.Config) { c.UnknownKeys = true })
		require.Zero(t, n.admission("/closed/", "k"))
		require.Equal(t, http.StatusServiceUnavailable, n.admission("/closed/", "z"))
	})
}

// Guards against a limit on bodies that a configuration without limits sets to zero.
func TestConfigurationWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDeclaredNode(t)
		d := n.declared(1, nil)
		d.Limits = Limits{}
		n.applyChanges(time.Now(), Changes{Declared: d})
		require.EqualValues(t, defaultLimits.MaxBody, n.snapshot().Config.Requests.MaxBody)
		require.Equal(t, defaultLimits, n.callerLimits())
	})
}
