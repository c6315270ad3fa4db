package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against pools whose labels to match are parsed, or ignored beside a selector.
func TestPoolMatchLabels(t *testing.T) {
	snap, err := Compile(&Config{Pools: []Pool{
		{Name: "exact", MatchLabels: map[string]string{"service": "a:b, c=d"}},
		{Name: "both", Selector: "hall in (a,b)", MatchLabels: map[string]string{"service": "x"}},
		{Name: "empty", MatchLabels: map[string]string{"service": ""}},
	}}, 1)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		set  map[string]string
		want []string
	}{
		"the exact value":      {map[string]string{"service": "a:b, c=d", "hall": "z"}, []string{"exact"}},
		"a part of it":         {map[string]string{"service": "a:b"}, nil},
		"labels and selector":  {map[string]string{"service": "x", "hall": "b"}, []string{"both"}},
		"labels alone":         {map[string]string{"service": "x", "hall": "z"}, nil},
		"selector alone":       {map[string]string{"service": "y", "hall": "b"}, nil},
		"an empty value":       {map[string]string{"service": ""}, []string{"empty"}},
		"a label that is away": {map[string]string{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, p := range snap.Pools() {
				if p.Matches(c.set) {
					got = append(got, p.Name)
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}
