package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pathhead/pathhead/policy"
)

// benchBoard returns a board of the size that the users state: 750 targets, 2,400
// organisations, 16 models, and prompts of 32,000 tokens in four messages.
func benchBoard(b *testing.B, targets, orgs int) (*Board, []Request) {
	b.Helper()
	const models, promptTokens = 16, 32000
	var text strings.Builder
	text.WriteString("version: pathhead/v1\norganisations:\n")
	for i := range orgs {
		fmt.Fprintf(&text, "  - {name: o%d, keys: []}\n", i)
	}
	text.WriteString("pools: [{name: e, kind: engine, selector: s=e, window: 64}]\nmodels:\n")
	for i := range models {
		fmt.Fprintf(&text, "  - {name: m%d, weights: w, pool: e, maxPromptTokens: 40000}\n", i)
	}
	cfg, err := policy.Parse("bench", []byte(text.String()))
	if err != nil {
		b.Fatal(err)
	}
	snap, err := policy.Compile(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	board := NewBoard(WithSeed(1))
	board.Adopt(epoch, snap)
	var seen []ListedTarget
	for i := range targets {
		seen = append(seen, ListedTarget{Addr: testAddr(i), Labels: map[string]string{"s": "e"}})
	}
	board.SetTargets(epoch, seen)
	for i := range targets {
		weights := make(map[string]string)
		for m := range models {
			weights[fmt.Sprintf("m%d", m)] = "w"
		}
		board.Report(epoch, testAddr(i), Report{Incarnation: "i", Weights: weights, Slots: 64, PrefillRate: 8000})
	}
	var requests []Request
	for i := range 64 {
		m, _, _ := snap.Model(fmt.Sprintf("m%d", i%models))
		prompt := strings.Repeat(fmt.Sprintf("rules %d ", i%8), promptTokens*4/10)
		body := []byte(prompt + fmt.Sprintf("case %d", i) + strings.Repeat("x", 400))
		requests = append(requests, Request{
			Org: fmt.Sprintf("o%d", i%orgs), Revision: 1, Pool: "e", Model: m, Repeatable: true, MaxTokens: 64,
			QueueTime: time.Second, Text: body, Bounds: []int{2000, 40000, len(prompt), len(body)},
		})
	}
	return board, requests
}

// BenchmarkPlace measures one placement without the computation of the prefix chain.
func BenchmarkPlace(b *testing.B) {
	for _, targets := range []int{10, 100, 750} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			board, requests := benchBoard(b, targets, 2400)
			warm(board, requests)
			var rs []*request
			for _, r := range requests {
				q := &request{Request: r}
				q.chain("w")
				rs = append(rs, q)
			}
			p := board.pools["e"]
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if c, _ := board.choose(epoch, p, rs[i%len(rs)]); c == nil {
					b.Fatal("no target")
				}
			}
		})
	}
}

func warm(board *Board, requests []Request) {
	for i, r := range requests {
		r.ID = fmt.Sprint("warm", i)
		r.Deadline = epoch.Add(time.Minute)
		for _, a := range board.Arrive(epoch, r) {
			if s, ok := a.(Send); ok {
				board.FirstToken(epoch, r.ID, s.Attempt.ID)
				board.Ended(epoch, Outcome{Request: r.ID, Attempt: s.Attempt.ID, Kind: OutcomeDone, Usage: &Usage{Prompt: 32000, Cached: 31000}})
			}
		}
	}
}

// BenchmarkRequest measures all work of a board for one request, including the prefix chain.
func BenchmarkRequest(b *testing.B) {
	board, requests := benchBoard(b, 750, 2400)
	warm(board, requests)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := requests[i%len(requests)]
		r.ID = fmt.Sprint(i)
		r.Deadline = epoch.Add(time.Minute)
		for _, a := range board.Arrive(epoch, r) {
			s := a.(Send)
			board.FirstToken(epoch, r.ID, s.Attempt.ID)
			board.Ended(epoch, Outcome{Request: r.ID, Attempt: s.Attempt.ID, Kind: OutcomeDone, Usage: &Usage{Prompt: 32000, Cached: 31000}})
		}
	}
}

// BenchmarkChain measures the hashing of a prompt of 32,000 tokens.
func BenchmarkChain(b *testing.B) {
	text := []byte(strings.Repeat("x", 128<<10))
	b.SetBytes(int64(len(text)))
	for range b.N {
		Chain("salt", text, BlockBytes, ChainEvery)
	}
}

// BenchmarkPeers measures the merging of one round of gossip.
func BenchmarkPeers(b *testing.B) {
	board, requests := benchBoard(b, 750, 2400)
	warm(board, requests)
	states := make(map[string]PeerState)
	for i := range 8 {
		states[fmt.Sprint(i)] = board.State(epoch)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		board.MergePeers(epoch, states, 390)
	}
}
