package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMechanisms(t *testing.T) {
	t.Parallel()
	all, err := ParseMechanisms(MechanismNames())
	require.NoError(t, err)
	require.Equal(t, 2*BrittleTargets-1, all, "each constant has a name")
	two, err := ParseMechanisms([]string{"urgency", "others-entries"})
	require.NoError(t, err)
	require.Equal(t, Urgency|OthersEntries, two)
	require.Equal(t, "urgency,others-entries", two.String())
	_, err = ParseMechanisms([]string{"luck"})
	require.ErrorContains(t, err, `"luck"`)
}
