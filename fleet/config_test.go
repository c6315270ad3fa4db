package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// applyCall is the input of one operator's Apply call.
type applyCall struct {
	base    int64
	writeID string
}

type applyResult struct {
	accepted bool
	conflict bool
	revision int64
	writeID  string
}

// applyModel is the sequential specification of Apply: the head moves from the base to the next
// revision, or the call conflicts with the document stored as that revision.
var applyModel = porcupine.Model{
	Init: func() any { return []string{""} },
	Step: func(state, input, output any) (bool, any) {
		owners := state.([]string)
		in, out := input.(applyCall), output.(applyResult)
		next := int(in.base) + 1
		switch {
		case out.accepted:
			return len(owners) == next, append(owners[:len(owners):len(owners)], in.writeID)
		case out.conflict:
			return next < len(owners) && owners[next] == out.writeID, owners
		}
		// The outcome is unknown: the write may have taken effect or not, so the checker may assume
		// either.
		return true, owners
	},
	Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
}

// flaky returns a plan of lost commits and replies from a seed.
func flaky(seed uint64, loss float64) func() (bool, bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	return func() (bool, bool) { return rng.Float64() >= loss, rng.Float64() >= loss }
}

func TestConfigApplyLinearizable(t *testing.T) {
	checkRaces(t, "operators", 4, raceOperators)
}

// raceOperators runs operators that apply concurrently over a table that loses commits and replies.
func raceOperators(seed uint64, operators int) error {
	table := newFakeTable()
	table.plan = flaky(seed, 0.3)
	configs := Configs{Table: table, Objects: newFakeObjects()}
	var (
		mu  sync.Mutex
		ops []porcupine.Operation
		wg  sync.WaitGroup
	)
	for i := range operators {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)+7))
			for n := range 3 {
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				op := applyOnce(configs, i, fmt.Sprintf("w%d-%d", i, n))
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if !porcupine.CheckOperations(applyModel, ops) {
		return fmt.Errorf("the history is not linearizable: %v", ops)
	}
	return headMatches(configs, ops)
}

func applyOnce(configs Configs, client int, writeID string) porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	head, err := configs.Head(ctx)
	if err != nil {
		panic(err)
	}
	op := porcupine.Operation{ClientId: client, Input: applyCall{head.Revision, writeID}, Call: time.Now().UnixNano()}
	stored, err := configs.Apply(ctx, head.Revision, Document{WriteID: writeID, Text: "x"})
	op.Return = time.Now().UnixNano()
	out := applyResult{revision: stored.Revision, writeID: stored.WriteID}
	switch {
	case err == nil:
		out.accepted = true
	case errors.Is(err, ErrSuperseded):
		out.conflict = true
	}
	op.Output = out
	return op
}

// headMatches checks that the head is the newest accepted revision and in force.
func headMatches(configs Configs, ops []porcupine.Operation) error {
	accepted := int64(0)
	for _, op := range ops {
		if out := op.Output.(applyResult); out.accepted {
			accepted = max(accepted, out.revision)
		}
	}
	head, err := configs.Head(context.Background())
	if err != nil {
		return err
	}
	if head.Revision != accepted || head.InForce != accepted {
		return fmt.Errorf("head is %+v, revision %d was accepted", head, accepted)
	}
	d, ok, err := configs.Confirmed(context.Background(), 0)
	if err != nil || accepted > 0 && (!ok || d.Revision != accepted) {
		return fmt.Errorf("the object store has revision %d (%t, %v), %d is in force", d.Revision, ok, err, accepted)
	}
	return nil
}

func TestConfigNotInForceWithoutObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := newFakeObjects()
		configs := Configs{Table: newFakeTable(), Objects: objects}
		objects.down = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := configs.Apply(ctx, 0, Document{WriteID: "a", Text: "x"})
		require.Error(t, err, "Apply must not report the revision as in force")
		head, err := configs.Head(t.Context())
		require.NoError(t, err)
		require.Equal(t, Head{Revision: 1}, head)

		objects.down = false
		d, err := configs.Get(t.Context(), 1)
		require.NoError(t, err)
		require.NoError(t, configs.Confirm(t.Context(), d), "any process can put it in force later")
		head, err = configs.Head(t.Context())
		require.NoError(t, err)
		require.Equal(t, Head{Revision: 1, InForce: 1}, head)
	})
}

// adoptionSim simulates revisions and routers that learn of them late, freeze, or lose contact with
// the table or with each other.
type adoptionSim struct {
	now       time.Time
	inForce   int64
	inForceAt map[int64]time.Time
	tableOut  bool
	routers   []*Adoption
	served    []int64
	cutTable  []bool
	cutPeers  []bool
}

const testValidity = 3 * time.Second

func TestAdoptionFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 3
		w := &adoptionSim{
			now: epoch, inForce: 1, inForceAt: map[int64]time.Time{1: epoch},
			served: make([]int64, n), cutTable: make([]bool, n), cutPeers: make([]bool, n),
		}
		for range n {
			w.routers = append(w.routers, NewAdoption(testValidity, false))
		}
		pick := func() int { return rapid.IntRange(0, n-1).Draw(rt, "router") }
		rt.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) {
				if !w.tableOut {
					w.inForce++
					w.inForceAt[w.inForce] = w.now
				}
			},
			"pass": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
			},
			"table":     func(*rapid.T) { w.tableOut = !w.tableOut },
			"cut table": func(*rapid.T) { i := pick(); w.cutTable[i] = !w.cutTable[i] },
			"cut peers": func(*rapid.T) { i := pick(); w.cutPeers[i] = !w.cutPeers[i] },
			"poll":      func(*rapid.T) { w.poll(pick()) },
			"gossip":    func(*rapid.T) { w.gossip(pick(), pick()) },
			"restart": func(*rapid.T) {
				i := pick()
				w.routers[i] = NewAdoption(testValidity, false)
				w.served[i] = 0
			},
			"": func(rt *rapid.T) {
				if err := w.check(); err != nil {
					rt.Fatal(err)
				}
			},
		})
	})
}

func (w *adoptionSim) poll(i int) {
	if w.tableOut || w.cutTable[i] {
		w.routers[i].TableDown()
		return
	}
	w.routers[i].TableUp()
	w.routers[i].Adopted(w.inForce)
	w.routers[i].Confirm(w.now, w.inForce)
}

func (w *adoptionSim) gossip(i, j int) {
	if i == j || w.cutPeers[i] || w.cutPeers[j] {
		return
	}
	status := w.routers[j].Status(w.now)
	w.routers[i].ObservePeer(w.now, status)
	w.routers[i].Adopted(status.Revision)
}

// check is the oracle. A router never goes back to a lower revision, and serves only under one that
// was the newest at some moment within the validity, unless the table is unavailable to it and to a
// peer that it exchanges with.
func (w *adoptionSim) check() error {
	for i, a := range w.routers {
		if a.Revision() < w.served[i] {
			return fmt.Errorf("router %d went back from revision %d to %d", i, w.served[i], a.Revision())
		}
		w.served[i] = a.Revision()
		if !a.Serving(w.now) {
			continue
		}
		next, superseded := w.inForceAt[a.Revision()+1]
		late := superseded && w.now.Sub(next) > testValidity
		if late && !a.tableDown {
			return fmt.Errorf("router %d serves revision %d, superseded %s ago, and its table is up", i, a.Revision(), w.now.Sub(next))
		}
	}
	return nil
}

func TestAdoptionFrozenRouter(t *testing.T) {
	cases := map[string]struct {
		standalone bool
		tableDown  bool
		peer       *ConfigStatus
		passed     time.Duration
		serving    bool
	}{
		"fresh":                                       {passed: time.Second, serving: true},
		"frozen past the validity":                    {passed: 4 * time.Second},
		"table unavailable, no peer report":           {passed: 4 * time.Second, tableDown: true},
		"table unavailable, peer reports it too":      {passed: 4 * time.Second, tableDown: true, peer: &ConfigStatus{Revision: 1, ConfirmedAge: time.Hour, TableDown: true}, serving: true},
		"table unavailable here, peer is confirmed":   {passed: 4 * time.Second, tableDown: true, peer: &ConfigStatus{Revision: 1, ConfirmedAge: time.Second}, serving: true},
		"peer has a newer revision":                   {passed: time.Second, peer: &ConfigStatus{Revision: 2}},
		"configured without peers, table unavailable": {standalone: true, passed: time.Hour, tableDown: true, serving: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := NewAdoption(testValidity, c.standalone)
			a.Adopted(1)
			a.Confirm(epoch, 1)
			if c.tableDown {
				a.TableDown()
			}
			now := epoch.Add(c.passed)
			if c.peer != nil {
				a.ObservePeer(now, *c.peer)
			}
			require.Equal(t, c.serving, a.Serving(now))
		})
	}
}

func FuzzDecodeDocument(f *testing.F) {
	good, err := json.Marshal(Document{Revision: 3, Text: "version: pathhead/v1"})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte("{}"))
	f.Add([]byte(`{"revision":-1,"text":"a: [b"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := decodeDocument(data)
		if err != nil {
			return
		}
		_, _ = d.Compile()
	})
}
