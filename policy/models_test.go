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

// Guards against a model whose name has a colon and is taken for an adapter of another one, so that its requests
// go out without a salt of their own and without expected weights.
func TestModelNameWithColon(t *testing.T) {
	snap, err := Compile(&Config{
		Pools: []Pool{{Name: "p"}},
		Models: []Model{
			{Name: "daka:5b", Pool: "p"}, {Name: "daka", Pool: "p", Adapters: []string{"5b", "fr", "fr:ca"}},
			{Name: "reg.example:5000/daka:5b", Pool: "p", Adapters: []string{"x"}},
		},
	}, 1)
	require.NoError(t, err)
	for asked, want := range map[string]struct{ model, adapter string }{
		"daka:5b":                    {"daka:5b", ""},
		"daka":                       {"daka", ""},
		"daka:fr":                    {"daka", "fr"},
		"daka:fr:ca":                 {"daka", "fr:ca"},
		"reg.example:5000/daka:5b":   {"reg.example:5000/daka:5b", ""},
		"reg.example:5000/daka:5b:x": {"reg.example:5000/daka:5b", "x"},
		"daka:":                      {},
		"daka:7b":                    {},
		"daka:5b:fr":                 {},
		"DAKA:5b":                    {},
		":":                          {},
		"":                           {},
	} {
		for what, find := range map[string]func() (*Model, string, bool){
			"of a pool": func() (*Model, string, bool) { return snap.ModelAt("p", asked) },
			"by name":   func() (*Model, string, bool) { return snap.Model(asked) },
		} {
			m, adapter, ok := find()
			require.Equal(t, want.model != "", ok, "%q %s", asked, what)
			if ok {
				require.Equal(t, want.model, m.Name, "%q %s", asked, what)
				require.Equal(t, want.adapter, adapter, "%q %s", asked, what)
			}
		}
	}
}
