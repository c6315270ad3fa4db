package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a model that is looked up by its name alone where several pools have one of that name.
func TestModelAt(t *testing.T) {
	snap, err := Compile(&Config{
		Pools:  []Pool{{Name: "p"}, {Name: "q"}},
		Models: []Model{{Name: "m", Pool: "p", Floor: 2, Adapters: []string{"a"}}, {Name: "m", Pool: "q", Floor: 1}},
	}, 1)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		pool, model string
		floor       int
		adapter     string
	}{
		"the first pool":             {"p", "m", 2, ""},
		"the last pool":              {"q", "m", 1, ""},
		"an adapter":                 {"p", "m:a", 2, "a"},
		"an adapter of another pool": {"q", "m:a", 0, ""},
		"an unknown pool":            {"r", "m", 0, ""},
		"an unknown model":           {"p", "n", 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			m, adapter, ok := snap.ModelAt(c.pool, c.model)
			require.Equal(t, c.floor > 0, ok)
			if ok {
				require.Equal(t, c.pool, m.Pool)
				require.Equal(t, c.floor, m.Floor)
			}
			require.Equal(t, c.adapter, adapter)
		})
	}
}
