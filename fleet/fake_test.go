package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var errLost = errors.New("no reply")

// fakeTable is a table whose next replies are controlled by a test.
type fakeTable struct {
	mu     sync.Mutex
	rows   map[[2]string]Row
	tokens map[string]bool
	// plan is called before each commit and decides whether it takes effect and whether its reply
	// arrives.
	plan    func() (effect, reply bool)
	commits int
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows:   make(map[[2]string]Row),
		tokens: make(map[string]bool),
		plan:   func() (bool, bool) { return true, true },
	}
}

func (f *fakeTable) Get(_ context.Context, part, sort string) (Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[[2]string{part, sort}]
	return r, ok, nil
}

func (f *fakeTable) Range(_ context.Context, part, after string, limit int) ([]Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Row
	for _, r := range f.rows {
		if r.Part == part && r.Sort > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Sort, b.Sort) })
	return out[:min(limit, len(out))], nil
}

func (f *fakeTable) Commit(_ context.Context, token string, writes ...Write) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	effect, reply := f.plan()
	err := errLost
	if effect {
		err = f.apply(token, writes)
	}
	if !reply {
		return 0, errLost
	}
	return writes[0].If + 1, err
}

func (f *fakeTable) apply(token string, writes []Write) error {
	if f.tokens[token] {
		return nil
	}
	for _, w := range writes {
		if f.rows[[2]string{w.Part, w.Sort}].Rev != w.If {
			return ErrConflict.Errorf("%s/%s", w.Part, w.Sort)
		}
	}
	f.tokens[token] = true
	for _, w := range writes {
		f.rows[[2]string{w.Part, w.Sort}] = Row{Part: w.Part, Sort: w.Sort, Data: w.Data, Rev: w.If + 1}
	}
	return nil
}

// fakeObjects is an object store that can be unavailable.
type fakeObjects struct {
	mu   sync.Mutex
	data map[string][]byte
	down bool
}

func newFakeObjects() *fakeObjects { return &fakeObjects{data: make(map[string][]byte)} }

func (f *fakeObjects) Get(_ context.Context, key string) ([]byte, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, false, errLost
	}
	d, ok := f.data[key]
	return d, ok, nil
}

func (f *fakeObjects) PutIfAbsent(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errLost
	}
	if _, ok := f.data[key]; !ok {
		f.data[key] = data
	}
	return nil
}

func (f *fakeObjects) List(_ context.Context, prefix, after string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errLost
	}
	keys := slices.Sorted(maps.Keys(f.data))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) || k <= after }), nil
}

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// checkRaces runs two to most concurrent callers or operators in simulated time; what the table
// loses is drawn from a seed.
func checkRaces(t *testing.T, kind string, limit int, race func(seed uint64, n int) error) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := rapid.IntRange(2, limit).Draw(rt, kind)
		var err error
		synctest.Test(t, func(*testing.T) { err = race(seed, n) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}
