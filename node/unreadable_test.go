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

// closedRoutes has a route without keys and one with the key k.
func closedRoutes(declared *Declared) Declared {
	declared.Config.Routes = []policy.Route{{Name: "o", Path: "/open/", Pool: simPool, Public: true}, {Name: "c", Path: "/closed/", Pool: simPool}}
	declared.Config.Open = false
	declared.Config.Organisations = []policy.Organisation{{Name: "org", Keys: []policy.Key{keyOf("k")}}}
	return *declared
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
	for name, change := range map[string]func(newer Declared) Changes{
		"unreadable": func(Declared) Changes {
			return Changes{Unreadable: true, UnreadableRevision: 2, Rejected: errs.Errorf("odd")}
		},
		"unreadable without a number": func(Declared) Changes { return Changes{Unreadable: true, Rejected: errs.Errorf("odd")} },
		"does not compile": func(newer Declared) Changes {
			newer.Config.Organisations = []policy.Organisation{{Name: "org", Keys: []policy.Key{{ID: "k", SHA256: "?"}}}}
			return Changes{Declared: &newer}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSimStore(1)
				n, err := New(validSettings(), store, plainProtocol{}, store)
				require.NoError(t, err)
				declare := func(revision int64) Declared {
					d, err := store.Parse(revision, "one")
					require.NoError(t, err)
					return closedRoutes(d)
				}
				first, last := declare(1), declare(3)
				n.applyChanges(time.Now(), Changes{Declared: &first})
				require.Zero(t, n.admission("/closed/", "k"))

				bound := n.settings().Bounds.Apply
				n.applyChanges(time.Now(), change(declare(2)))
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

				n.applyChanges(time.Now(), Changes{Declared: &last})
				require.Zero(t, n.admission("/open/", ""))
				require.Zero(t, n.admission("/closed/", "k"))
				require.Equal(t, http.StatusNotFound, n.admission("/none/", "k"))
			})
		})
	}
}

// Guards against a rejected naming or roll-out that keeps the configuration from being confirmed.
func TestRejectedRowConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSimStore(1)
		n, err := New(validSettings(), store, plainProtocol{}, store)
		require.NoError(t, err)
		d, err := store.Parse(1, "one")
		require.NoError(t, err)
		first := closedRoutes(d)
		n.applyChanges(time.Now(), Changes{Declared: &first})
		for range 20 {
			time.Sleep(n.settings().Bounds.Apply / 5)
			n.applyChanges(time.Now(), Changes{Rejected: errs.Errorf("odd weights")})
			require.Zero(t, n.admission("/closed/", "k"))
		}
	})
}

// Guards against a route or an organisation that cannot be read and is answered as if it were not there, and
// against unknown keys that are rejected while some keys of the revision could not be read.
func TestUnreadableEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSimStore(1)
		n, err := New(validSettings(), store, plainProtocol{}, store)
		require.NoError(t, err)
		adopt := func(revision int64, change func(*policy.Config)) {
			d, err := store.Parse(revision, "one")
			require.NoError(t, err)
			closed := closedRoutes(d)
			change(closed.Config)
			closed.Invalid = []error{errs.Errorf("odd")}
			n.applyChanges(time.Now(), Changes{Declared: &closed})
		}
		adopt(1, func(c *policy.Config) { c.Routes[0].Invalid = true })
		require.Equal(t, http.StatusServiceUnavailable, n.admission("/open/", ""))
		require.Zero(t, n.admission("/closed/", "k"))
		adopt(2, func(c *policy.Config) { c.Organisations[0].Invalid = true })
		require.Zero(t, n.admission("/open/", ""))
		require.Equal(t, http.StatusServiceUnavailable, n.admission("/closed/", "k"))
		require.Equal(t, http.StatusUnauthorized, n.admission("/closed/", "z"))
		adopt(3, func(c *policy.Config) { c.UnknownKeys = true })
		require.Zero(t, n.admission("/closed/", "k"))
		require.Equal(t, http.StatusServiceUnavailable, n.admission("/closed/", "z"))
	})
}

// Guards against a limit on bodies that a configuration without limits sets to zero.
func TestConfigurationWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSimStore(1)
		n, err := New(validSettings(), store, plainProtocol{}, store)
		require.NoError(t, err)
		d, err := store.Parse(1, "one")
		require.NoError(t, err)
		d.Limits = Limits{}
		n.applyChanges(time.Now(), Changes{Declared: d})
		require.EqualValues(t, defaultLimits.MaxBody, n.snapshot().Config.Requests.MaxBody)
		require.Equal(t, defaultLimits, n.callerLimits())
	})
}
