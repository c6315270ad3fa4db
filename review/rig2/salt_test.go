package rig2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// Times of the case on salts.
const (
	// saltTime is how long streams begin, and saltEvery the time between two.
	saltTime  = 12 * time.Second
	saltEvery = 150 * time.Millisecond
	// nameAfter is when new weights are named.
	nameAfter = 4 * time.Second
)

// subjects is the number of shared beginnings of prompts.
const subjects = 4

// modelNameWithTag names new weights of a model whose name has a tag after a colon. Without the disruption no weights
// are named.
func modelNameWithTag(ctx context.Context, r *rig) error {
	var all []*engine
	for i := range 2 {
		e, err := r.startEngine(fmt.Sprintf("i-%d", i), "lm-desk", r.model)
		if err != nil {
			return err
		}
		defer e.close()
		all = append(all, e)
	}
	if err := r.store.NameWeights(r.model, 1); err != nil {
		return err
	}
	c := configuration{
		Version: 7,
		Routes: []platformtest.Route{{
			Name: "bag", Host: host, Prefix: "/bag/", Kind: "streaming", TimeoutMS: 12000, AimMS: 500, Service: "lm-desk", Attempts: 2, Sticky: true, Resumable: true, GapMS: 500,
		}},
		Services: []platformtest.Service{{Name: "lm-desk", HealthPath: "/healthz", MaxConns: 370, Engine: &platformtest.Engine{
			Slots: 64, CacheTokens: 99487, TokenBytes: 18432, LinkMbps: 550000, CacheReaders: 12, Models: []platformtest.ModelName{{Name: r.model}},
		}}},
		Tenants: []tenant{{Name: "carrier-a", Keys: []string{"key-a"}}},
		Limits:  limits,
	}
	if _, err := r.declare(c); err != nil {
		return err
	}
	if err := r.addNodes(2); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	if err := r.playStreams(ctx); err != nil {
		return err
	}
	stale := 0
	for _, e := range all {
		stale += len(e.staleRuns())
	}
	r.note("%d uses of memory that another version of the model made", stale)
	if stale > 0 {
		return errBroken
	}
	return nil
}

// playStreams sends streams for a while, and names new weights meanwhile. It waits for the ends of the streams.
func (r *rig) playStreams(ctx context.Context) error {
	var open sync.WaitGroup
	defer open.Wait()
	begun, named := time.Now(), false
	for k := 0; time.Since(begun) < saltTime; k++ {
		if !named && r.trouble && time.Since(begun) >= nameAfter {
			named = true
			r.note("operator: version 2 of %s is named", r.model)
			if err := r.store.NameWeights(r.model, 2); err != nil {
				return err
			}
		}
		open.Go(func() { r.stream(ctx, r.nodes[k%len(r.nodes)], k) })
		if err := pause(ctx, saltEvery); err != nil {
			return err
		}
	}
	return nil
}

// stream sends a stream and reads its answer.
func (r *rig) stream(ctx context.Context, n *node, k int) {
	id := fmt.Sprintf("s-%d", k)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front.String()+"/bag/summary", nil)
	if err != nil {
		r.note("%s: %v", id, err)
		return
	}
	req.Host = host
	platformtest.RequestInfo{
		ID: id, Key: "key-a", Timeout: 12 * time.Second, Model: r.model, PromptTokens: 480, AnswerTokens: streamEvents,
		Parts: fmt.Sprintf("a%d:400,%x:80", k%subjects, 0x1000+k),
	}.Set(req.Header)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.note("%s at %s: no answer: %v", id, n.name, err)
		return
	}
	defer resp.Body.Close()
	size, err := io.Copy(io.Discard, resp.Body)
	r.note("%s at %s: %d, seal %q, %d bytes, whole %t", id, n.name, resp.StatusCode, platformtest.AnswerSeal(resp.Header), size, err == nil)
}
