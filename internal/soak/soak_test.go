package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/programs"
)

// binaries is where the programs are.
var binaries string

func TestMain(m *testing.M) {
	code, err := programs.Main(m, &binaries, "github.com/pathhead/pathhead/cmd/pathhead-node")
	if err != nil {
		panic(err)
	}
	os.Exit(code)
}

// A seed determines its plan, every kind is drawn, and plans are read back as they were written.
func TestDraw(t *testing.T) {
	kinds := make(map[Kind]bool)
	for seed := range uint64(200) {
		p := Draw(seed, time.Minute, DefaultSize)
		require.Equal(t, p, Draw(seed, time.Minute, DefaultSize))
		for _, step := range p.Steps {
			kinds[step.Kind] = true
			require.Less(t, step.At, time.Minute)
		}
	}
	require.Len(t, kinds, len(classes))
}

// The seeds that CI plays, and for how long. Together their steps have processes that
// are killed, paused, stopped and hung up, a store and links that fail, targets that
// come and go, configurations and weights.
var ciSeeds = []uint64{14, 20}

const ciTime = 24 * time.Second

// Real nodes keep the promises under a short seeded plan.
func TestSoak(t *testing.T) {
	for _, seed := range ciSeeds {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			res, err := New(binaries, WithOutput(t.TempDir())).Play(t.Context(), Draw(seed, ciTime, DefaultSize))
			require.NoError(t, err)
			var report strings.Builder
			res.Write(&report)
			t.Log(report.String())
			if len(res.Breaches) > 0 {
				joined, err := os.ReadFile(res.Dir + "/joined.txt")
				require.NoError(t, err)
				t.Fatalf("%s", joined)
			}
		})
	}
}
