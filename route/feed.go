package route

import "slices"

// Feed keeps the newest value of each key and tells what changed since a version.
// It remembers a bounded number of changes; who is further behind gets everything.
type Feed[K comparable, V any] struct {
	version int64
	values  map[K]V
	equal   func(a, b V) bool
	// changed is the version of each key's last change, log the changes in their order.
	changed map[K]int64
	log     []feedEntry[K]
	// forgotten is the version up to which changes are not remembered.
	compactedTo int64
}

type feedEntry[K comparable] struct {
	version int64
	key     K
}

// Change is a change of one key; Gone says that it has no value any more.
type Change[K comparable, V any] struct {
	Key   K
	Value V
	Gone  bool
}

// maxFeedLog is the number of changes that a feed remembers: some seconds of what
// the caches of a large fleet's engines tell.
const maxFeedLog = 8192

// NewFeed returns an empty feed; equal reports whether a new value is no change.
func NewFeed[K comparable, V any](equal func(a, b V) bool) *Feed[K, V] {
	return &Feed[K, V]{equal: equal, values: make(map[K]V), changed: make(map[K]int64)}
}

// Version returns the version of the last change.
func (f *Feed[K, V]) Version() int64 { return f.version }

// Set gives a key its value.
func (f *Feed[K, V]) Set(k K, v V) {
	if old, ok := f.values[k]; ok && f.equal(old, v) {
		return
	}
	f.values[k] = v
	f.recordChange(k)
}

// Drop takes a key out.
func (f *Feed[K, V]) Drop(k K) {
	if _, ok := f.values[k]; ok {
		delete(f.values, k)
		f.recordChange(k)
	}
}

// Get returns a key's value; ok is false where it has none.
func (f *Feed[K, V]) Get(k K) (v V, ok bool) {
	v, ok = f.values[k]
	return v, ok
}

// Clear takes all keys out. Who knows what was there is told everything that comes after.
func (f *Feed[K, V]) Clear() {
	if len(f.values) == 0 {
		return
	}
	f.version++
	f.compactedTo = f.version
	f.values, f.changed, f.log = make(map[K]V), make(map[K]int64), nil
}

// Keys returns the keys that have a value.
func (f *Feed[K, V]) Keys() []K {
	out := make([]K, 0, len(f.values))
	for k := range f.values {
		out = append(out, k)
	}
	return out
}

func (f *Feed[K, V]) recordChange(k K) {
	f.version++
	f.changed[k] = f.version
	f.log = append(f.log, feedEntry[K]{f.version, k})
	if len(f.log) > maxFeedLog {
		f.compact()
	}
}

// compact forgets the older half of the changes.
func (f *Feed[K, V]) compact() {
	cut := len(f.log) / 2
	f.compactedTo = f.log[cut-1].version
	for _, e := range f.log[:cut] {
		if _, ok := f.values[e.key]; !ok && f.changed[e.key] == e.version {
			delete(f.changed, e.key)
		}
	}
	f.log = slices.Clone(f.log[cut:])
}

// Len returns the number of keys that have a value.
func (f *Feed[K, V]) Len() int { return len(f.values) }

// Covers reports whether all changes after a version are known.
func (f *Feed[K, V]) Covers(after int64) bool {
	return after > 0 && after >= f.compactedTo && after <= f.version
}

// Since returns what changed after a version. If full is true, the changes are all
// values there are, and what is not among them is gone.
func (f *Feed[K, V]) Since(after int64) (changes []Change[K, V], full bool) {
	if !f.Covers(after) {
		for k, v := range f.values {
			changes = append(changes, Change[K, V]{Key: k, Value: v})
		}
		return changes, true
	}
	from, _ := slices.BinarySearchFunc(f.log, after+1, func(e feedEntry[K], v int64) int {
		return int(e.version - v)
	})
	for _, e := range f.log[from:] {
		if f.changed[e.key] != e.version {
			continue
		}
		v, ok := f.values[e.key]
		changes = append(changes, Change[K, V]{Key: e.key, Value: v, Gone: !ok})
	}
	return changes, false
}
