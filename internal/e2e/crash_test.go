package e2e

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/load"
	"github.com/pathhead/pathhead/route"
)

// crashText makes an engine crash when it begins to run a request that contains it.
const crashText = "a text that ends engines"

// crashingRequest returns a request that crashes each engine that begins to run it.
func crashingRequest() load.Arrival {
	a := promptRequest("formosa-air", "rules", "a", 4)
	a.Messages = append(a.Messages, load.Message{Role: "user", Content: crashText})
	return a
}

// A request that crashes each engine that begins to run it is held as a suspect once three
// engines have crashed, at all routers. Other requests are answered as soon as an engine runs.
func TestRequestEndsEngines(t *testing.T) {
	t.Parallel()
	s := newSystem(t, setup{engines: 5, routers: 2, engineFlags: []string{"--crash-on", crashText}})
	var ended atomic.Int64
	stop := make(chan struct{})
	done := make(chan struct{}, len(s.engines))
	for _, e := range s.engines {
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				case <-e.exited:
				}
				ended.Add(1)
				time.Sleep(300 * time.Millisecond)
				e.run()
			}
		}()
	}
	defer func() {
		close(stop)
		for range s.engines {
			<-done
		}
	}()
	clients := []*load.Client{s.client(s.routers[0]), s.client(s.routers[1])}
	held := func(n int) bool {
		r := s.send(clients[n%2], crashingRequest())
		require.False(t, r.OK())
		return r.Status == http.StatusServiceUnavailable && r.Code == "crashes_targets" && r.Verdict == route.NotRun.String()
	}
	asked := 0
	s.eventually(func() bool {
		asked += 2
		return held(asked) && held(asked+1)
	}, "both routers hold the request as a suspect")
	// A crash is counted once the engine's process has been waited for, which may be after the
	// answer to the copy that caused it.
	known := ended.Load()
	s.eventually(func() bool {
		before := known
		time.Sleep(500 * time.Millisecond)
		known = ended.Load()
		return known == before
	}, "all crashes are counted")
	t.Logf("%d engines crashed before both routers held the request", known)
	require.GreaterOrEqual(t, known, int64(3))
	for n := range 10 {
		require.True(t, held(n))
	}
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, known, ended.Load(), "no engine crashes once the request is held")
	s.eventually(func() bool { return s.send(clients[0], promptRequest("formosa-air", "rules", "b", 4)).OK() }, "other requests are answered")
}
