// Package outer holds the names that leave the processes against committed lists, so that a rename of
// one of them fails a test rather than a fleet of mixed releases.
package outer

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("outer.update", false, "write the lists of outer names anew")

// Check compares names with the lines of a committed list; with -outer.update it writes the list anew.
func Check(t *testing.T, path string, names []string) {
	t.Helper()
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(names, "\n")+"\n"), 0o644))
		return
	}
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	want := strings.Split(strings.TrimSpace(string(data)), "\n")
	require.Empty(t, without(want, names), "names of %s that are no longer written or read", path)
	require.Empty(t, without(names, want), "names that %s lacks; go test with -outer.update adds them", path)
}

// without returns the entries of a that b lacks.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}
