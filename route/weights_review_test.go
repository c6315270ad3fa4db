package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A prompt that takes longer to read than is left until requests may begin no more is not
// sent there: it would be withdrawn while it is read, and sent to another target after that.
func TestWeightsTooLateForOwnPrompt(t *testing.T) {
	p := newPartsBoard(t, 1)
	p.named("2")
	p.now = p.now.Add(9*time.Second - 10*time.Millisecond)
	a := p.ask(p.request("a", Part{"x", 35000}))
	if a == nil {
		return
	}
	own := time.Duration(35000 / p.b.targets[a.Target].rate() * float64(time.Second))
	require.Less(t, p.now.Add(own), epoch.Add(testBeginLimit), "it takes %s to read", own)
}
