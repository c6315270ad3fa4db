package soak

import (
	"bufio"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A node that is cut off exchanges nothing with a target until the cut ends, over connections that
// are open or new, and those that were held back go on. Other nodes are served meanwhile.
func TestNodeCutOff(t *testing.T) {
	const (
		cutNode   = "node-0"
		otherNode = "node-1"
		// quietTime is how long a test waits for an answer that is not to come, answerTime for one that is.
		quietTime  = 50 * time.Millisecond
		answerTime = 10 * time.Second
	)
	cases := map[string]struct {
		state LinkState
		// owner is the node whose process opens the connections.
		owner   string
		reached bool
		// survives is true if a connection that was open before works after the cut.
		survives bool
	}{
		"cut off":             {Cut, cutNode, false, true},
		"reset":               {Reset, cutNode, false, false},
		"cut of another node": {Cut, otherNode, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := echoProxyWithCuts(t, newNodeCuts(func() map[int]string { return map[int]string{os.Getpid(): c.owner} }))
			established := connect(t, p.Addr)
			require.True(t, answers(t, established, answerTime))
			limit := quietTime
			if c.reached {
				limit = answerTime
			}

			p.cuts.set(cutNode, c.state)
			if c.state == Reset {
				for _, open := range p.openConns() {
					open.close(true)
				}
			}
			require.Equal(t, c.reached, answers(t, established, limit))
			require.Equal(t, c.reached, answers(t, connect(t, p.Addr), limit))

			p.cuts.set(cutNode, Passing)
			require.True(t, answers(t, connect(t, p.Addr), answerTime))
			// What the cut held back arrives first.
			require.Equal(t, c.survives, answers(t, &lineConn{established.Conn, bufio.NewReader(established.Conn)}, answerTime))
		})
	}
}

// answers reports whether a line that is sent over a connection comes back in time.
func answers(t *testing.T, c *lineConn, limit time.Duration) bool {
	require.NoError(t, c.SetDeadline(time.Now().Add(limit)))
	if _, err := c.Write([]byte("line\n")); err != nil {
		return false
	}
	_, err := c.r.ReadString('\n')
	return err == nil
}
