package rig2

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// host is the host of all routes.
const host = "counter.example"

// caller is a consumer with one channel of its own.
type caller struct {
	rig    *rig
	node   *node
	client *http.Client
}

func (r *rig) newCaller(n *node) *caller {
	return &caller{r, n, &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// sent is a request that was sent, with its answer.
type sent struct {
	id, key string
	at      time.Time
	status  int
}

// send sends a request with a key, or without one if it is empty, and notes its answer.
func (c *caller) send(ctx context.Context, id, method, path, key string) (sent, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.front.String()+path, nil)
	if err != nil {
		return sent{}, err
	}
	req.Host = host
	platformtest.RequestInfo{ID: id, Key: key, Timeout: 3 * time.Second}.Set(req.Header)
	if key == "" {
		req.Header.Del("X-Credential")
	}
	s := sent{id: id, key: key, at: time.Now()}
	resp, err := c.client.Do(req)
	if err != nil {
		c.rig.note("request %s with key %q to %s: no answer: %v", id, key, c.node.name, err)
		return s, nil
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	s.status = resp.StatusCode
	c.rig.note("request %s with key %q to %s: %d, seal %q, whole %t", id, key, c.node.name, s.status, platformtest.AnswerSeal(resp.Header), err == nil)
	return s, nil
}
