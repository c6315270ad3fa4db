package node

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// plainProtocol answers with the status alone.
type plainProtocol struct{ Protocol }

func (plainProtocol) WriteRefusal(w http.ResponseWriter, _ route.Refusal) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (plainProtocol) WriteBadRequest(w http.ResponseWriter, status int, _ string) {
	w.WriteHeader(status)
}

// keyOf returns the configured form of an API key.
func keyOf(key string) policy.Key {
	sum := sha256.Sum256([]byte(key))
	return policy.Key{ID: key, SHA256: hex.EncodeToString(sum[:])}
}

// A node that knows of a newer configuration but cannot get it serves under the old one for as long
// as a change may take to come into force. After that it serves nothing. It never answers that
// something does not exist, since the newer configuration may add it. It used to serve routes
// without keys under the old configuration forever, refuse requests with keys at once, and answer
// that newly added routes and keys do not exist.
func TestBehindAdmits(t *testing.T) {
	const admitted = 0
	for name, c := range map[string]struct {
		path, key string
		// told, late and never are the expected status codes right after the node learns of a newer
		// configuration, past the bound after that, and past the bound without a newer one.
		told, late, never int
	}{
		"a route without keys": {"/open/", "", admitted, http.StatusServiceUnavailable, admitted},
		"a key":                {"/closed/", "k", admitted, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		"an unknown key":       {"/closed/", "z", http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		"an unknown route":     {"/none/", "k", http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSimStore(1)
				n, err := New(validSettings(), store, plainProtocol{}, store)
				require.NoError(t, err)
				declared, err := store.Parse(1, "one")
				require.NoError(t, err)
				declared.Config.Routes = []policy.Route{{Name: "o", Path: "/open/", Pool: simPool, Public: true}, {Name: "c", Path: "/closed/", Pool: simPool}}
				declared.Config.Open = false
				declared.Config.Organisations = []policy.Organisation{{Name: "org", Keys: []policy.Key{keyOf("k")}}}
				admit := func() int {
					w := httptest.NewRecorder()
					r := httptest.NewRequest(http.MethodGet, c.path, nil)
					if n.admit(&callerRequest{w: w, r: r, uri: c.path, info: RequestInfo{Key: c.key}}) {
						return admitted
					}
					return w.Code
				}
				n.adopt(*declared, "the store")
				n.receiveConfigStatus(time.Now(), fleet.ConfigStatus{Revision: 1})
				time.Sleep(n.settings().Bounds.Revoke)
				require.Equal(t, c.never, admit(), "no word for longer than the bounds")

				n.receiveConfigStatus(time.Now(), fleet.ConfigStatus{Revision: 1})
				n.receiveConfigStatus(time.Now(), fleet.ConfigStatus{Revision: 2})
				require.Equal(t, c.told, admit(), "at the word of a newer one")
				for range 5 {
					time.Sleep(n.settings().Bounds.Apply / 5)
					n.receiveConfigStatus(time.Now(), fleet.ConfigStatus{Revision: 2})
				}
				require.Equal(t, c.late, admit(), "past the bound after it")
			})
		})
	}
}
