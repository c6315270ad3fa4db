package node

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// A node that starts and has heard of nobody yet shares by the nodes that its settings
// name: the whole of what a target takes is not its own.
func TestConnsAtStart(t *testing.T) {
	s := validSettings()
	for _, addr := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		s.Seeds = append(s.Seeds, netip.MustParseAddrPort(addr))
	}
	n, err := New(s, nil, nil, nil)
	require.NoError(t, err)
	n.adopt(Declared{Revision: 1, Config: &policy.Config{
		Version: policy.Version,
		Pools:   []policy.Pool{{Name: "p", Kind: policy.KindService, Selector: LabelPool + "=p", MaxConns: 90}},
	}}, "the test")
	e := listed("10.0.1.1:80", "a", 1)
	e.Seen.Labels = map[string]string{LabelPool: "p"}
	n.shareConns([]route.Entry{e})
	require.Equal(t, 30, n.list.maxConns(e.Seen.Addr))
}
