package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// balancer assigns new connections to nodes whose readiness endpoint reports success.
type balancer struct {
	cluster *cluster

	mu     sync.Mutex
	misses map[string]int
}

// The balancer probes each node once a second and excludes a node after two
// consecutive failed probes.
const (
	probeInterval = time.Second
	maxMisses     = 2
)

// run probes all nodes until ctx ends.
func (b *balancer) run(ctx context.Context) {
	c := probeClient()
	for ctx.Err() == nil {
		for _, n := range b.cluster.allNodes() {
			go func() {
				ready := n.ready(ctx, c)
				b.mu.Lock()
				defer b.mu.Unlock()
				b.misses[n.name]++
				if ready {
					b.misses[n.name] = 0
				}
			}()
		}
		wait(ctx, probeInterval)
	}
}

// pick returns a random healthy node for a new connection. If fewer than half of the
// nodes are healthy, it picks among all of them.
func (b *balancer) pick() *node {
	all := b.cluster.allNodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*node
	for _, n := range all {
		if b.misses[n.name] < maxMisses {
			candidates = append(candidates, n)
		}
	}
	if 2*len(candidates) < len(all) {
		candidates = all
	}
	return candidates[rand.IntN(len(candidates))]
}

// dialTimeout bounds the setup of a new connection.
const dialTimeout = time.Second

// taggedConn is a connection that records which node process accepted it.
type taggedConn struct {
	net.Conn
	node string
	boot int
}

// dial opens a connection to a node that pick selects.
func (b *balancer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n := b.pick()
	p := n.running()
	if p == nil {
		return nil, errs.Errorf("%s is down", n.name)
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp4", n.settings.Callers.String())
	if err != nil {
		return nil, err
	}
	return &taggedConn{Conn: c, node: n.name, boot: p.boot}, nil
}

// caller sends first attempts over keep-alive connections and retries over new ones.
type caller struct {
	cluster   *cluster
	name      string
	keepAlive *http.Client
	newConns  *http.Client
}

// concurrentCalls is the number of calls that a caller has in flight at once, besides those of restingCalls
// workers that rest after each.
const (
	concurrentCalls = 2
	restingCalls    = 2
)

func newCaller(s *cluster, b *balancer, name string) *caller {
	client := func(keep bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext: b.dial, DisableCompression: true, DisableKeepAlives: !keep, MaxIdleConnsPerHost: concurrentCalls + restingCalls,
		}}
	}
	return &caller{cluster: s, name: name, keepAlive: client(true), newConns: client(false)}
}

// The bounds of the pause between two consecutive calls of a worker, and of one that rests, whose connections may be
// closed as idle.
const (
	minPause = 10 * time.Millisecond
	maxPause = 100 * time.Millisecond
	maxRest  = 3 * time.Second
)

// run sends calls until ctx ends. Calls in flight at that time are completed.
func (c *caller) run(ctx context.Context) {
	var all sync.WaitGroup
	for f := range concurrentCalls + restingCalls {
		longest := maxPause
		if f >= concurrentCalls {
			longest = maxRest
		}
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.call(fmt.Sprintf("%s.%d.%d", c.name, f, n))
				wait(ctx, minPause+rand.N(longest-minPause))
			}
		})
	}
	all.Wait()
	c.keepAlive.CloseIdleConnections()
}

// callMix lists the kinds of calls with their paths and relative frequencies. An empty
// path stands for a route of some configuration version.
var callMix = []struct {
	kind   CallKind
	path   string
	weight int
}{
	{StreamCall, "/stream/", 30}, {ResumeCall, "/resume/", 20}, {OnceCall, "/once/", 20}, {SafeCall, "/safe/", 8},
	{SafeCall, "/public/", 4}, {SafeCall, movedPath, 6}, {SafeCall, "", 12},
}

// Bodies repeat the name of their call, and a fraction of them are empty: nodes read nothing after the header then.
const (
	maxRepeats    = 20
	emptyFraction = 0.3
)

// newCall returns the first attempt of a random call. Entries of callMix without a path
// are sent to a route of a recent configuration version.
func (c *caller) newCall(call string) Attempt {
	a := Attempt{Call: call, Kind: SafeCall, Key: openKey, Body: strings.Repeat(call+" ", 1+rand.IntN(maxRepeats))}
	if rand.Float64() < emptyFraction {
		a.Body = ""
	}
	total := 0
	for _, m := range callMix {
		total += m.weight
	}
	at := rand.IntN(total)
	for _, m := range callMix {
		if at -= m.weight; at < 0 {
			a.Kind, a.Path = m.kind, m.path
			break
		}
	}
	recentVersion := func(back int) int64 { return max(1, c.cluster.newestVersion()-int64(rand.IntN(back))) }
	if a.Path == "" {
		a.Path = versionPath(recentVersion(routesRetained + 2))
	}
	switch rand.IntN(6) {
	case 0:
		a.Key = versionKey(recentVersion(keysRetained + 1))
	case 1:
		a.Key = isolatedKey
	}
	a.Path += "x?" + call
	if a.Kind.streams() {
		a.Parts = fmt.Sprintf("%02x:400,%04x:90", rand.IntN(20), rand.IntN(5000))
	}
	return a
}

// maxAttempts bounds the attempts of a call. abandonFraction is the fraction of streams
// that the caller cancels early.
const (
	maxAttempts     = 3
	abandonFraction = 0.03
)

// call sends one call and retries it as far as its kind allows.
func (c *caller) call(call string) {
	a := c.newCall(call)
	end := time.Now().Add(callTime)
	for n := range maxAttempts {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		a.ID = fmt.Sprintf("%s.%d", call, n)
		client := c.keepAlive
		if n > 0 {
			client = c.newConns
		}
		pause, events, retry := c.attempt(client, a, left)
		if a.Kind == ResumeCall && events > 0 {
			// A next attempt takes up what this one left.
			a.Resumes, a.LastEvent = cmp.Or(a.Resumes, a.ID), a.LastEvent+events
		}
		if !retry || a.LastEvent == streamEvents || time.Until(end) < minPause {
			return
		}
		time.Sleep(min(pause, time.Until(end)/3))
	}
}

// attempt sends a call once. It returns how many whole events it brought if it is a stream, whether the call
// may be retried, and after what pause.
func (c *caller) attempt(client *http.Client, a Attempt, left time.Duration) (pause time.Duration, events int, retry bool) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if a.Kind.streams() && rand.Float64() < abandonFraction {
		t := time.AfterFunc(rand.N(max(1, left/8)), cancel)
		defer t.Stop()
	}
	index := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, ok := i.Conn.(*taggedConn)
		if !ok {
			return
		}
		c.cluster.update(func(r *Record) {
			a := &r.Attempts[index]
			a.Node, a.Boot, a.Kept, a.Sent = conn.node, conn.boot, i.Reused, time.Now()
		})
	}})
	a.Sent = time.Now()
	c.cluster.update(func(r *Record) {
		index = len(r.Attempts)
		r.Attempts = append(r.Attempts, a)
	})
	pause = minPause
	answer := func(r *Attempt) {
		resp, err := client.Do(request(ctx, a, left))
		if err != nil {
			r.Err = err.Error()
			return
		}
		defer resp.Body.Close()
		r.Status, r.Seal, r.AnswerID = resp.StatusCode, platformtest.AnswerSeal(resp.Header), platformtest.AnswerID(resp.Header)
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			r.Err = err.Error()
		}
		r.Answer = string(data)
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			pause = time.Duration(s * float64(time.Second))
		}
	}
	var got Attempt
	answer(&got)
	c.cluster.update(func(r *Record) {
		p := &r.Attempts[index]
		p.Done, p.Status, p.Seal, p.AnswerID, p.Answer, p.Err = time.Now(), got.Status, got.Seal, got.AnswerID, got.Answer, got.Err
		p.Left = ctx.Err() != nil
		retry = retryable(*p)
	})
	if a.Kind.streams() && got.Status == http.StatusOK {
		events = strings.Count(got.Answer, "\n\n")
	}
	return pause, events, retry
}

// retryable reports whether a call may be retried after an attempt.
func retryable(a Attempt) bool {
	switch a.Status {
	case http.StatusOK:
		return a.Err != "" && !a.Kind.atMostOnce()
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
		return false
	}
	return !a.Kind.atMostOnce() || a.refusedNotRun() || a.Err != "" && a.Node == ""
}

// refusedNotRun reports whether the answer states that the request has not run and will not run.
func (a Attempt) refusedNotRun() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// The lengths of a stream's prompt and answer in tokens.
const (
	promptTokens = 490
	answerTokens = 20
)

// request builds an attempt's request.
func request(ctx context.Context, a Attempt, left time.Duration) *http.Request {
	// The HTTP client does not retry a POST by itself once it has written any byte of it.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostName+a.Path, strings.NewReader(a.Body))
	if err != nil {
		panic("soak: generated path does not parse: " + a.Path)
	}
	params := platformtest.RequestInfo{ID: a.ID, Key: a.Key, Timeout: left}
	if a.Parts != "" {
		params.Model, params.Parts, params.PromptTokens, params.AnswerTokens = modelName, a.Parts, promptTokens, answerTokens
	}
	params.Set(req.Header)
	if a.Resumes != "" {
		platformtest.SetContinuation(req.Header, a.Resumes, a.LastEvent)
	}
	return req
}

// expectedAnswer returns the complete answer to an attempt.
func (a Attempt) expectedAnswer() string {
	if !a.Kind.streams() {
		return platformtest.Body(a.ID)
	}
	var b strings.Builder
	for n := a.LastEvent + 1; n <= streamEvents; n++ {
		b.WriteString(platformtest.Event(a.ID, n))
	}
	return b.String()
}
