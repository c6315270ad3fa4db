package route

import "slices"

// Feed holds the current value of each key and lists the changes since a version. It remembers
// a bounded number of changes; a reader that is further behind receives all values.
type Feed[K comparable, V any] struct {
	version int64
	values  map[K]V
	equal   func(a, b V) bool
	// changed is the version of each key's last change, and log the changes in order.
	changed map[K]int64
	log     []feedEntry[K]
	// compactedTo is the version up to which changes were discarded.
	compactedTo int64
}

type feedEntry[K comparable] struct {
	version int64
	key     K
}

// Change is the change of one key. Gone is set if the key was removed.
type Change[K comparable, V any] struct {
	Key   K
	Value V
	Gone  bool
}

// maxFeedLog is the number of changes that a feed remembers, which covers some seconds of the
// cache events of a large fleet's engines.
const maxFeedLog = 8192

// NewFeed returns an empty feed. Set ignores a new value that equal reports to be the same.
func NewFeed[K comparable, V any](equal func(a, b V) bool) *Feed[K, V] {
	return &Feed[K, V]{equal: equal, values: make(map[K]V), changed: make(map[K]int64)}
}

// Version returns the version of the last change.
func (f *Feed[K, V]) Version() int64 { return f.version }

// Set sets the value of a key.
func (f *Feed[K, V]) Set(k K, v V) {
	if old, ok := f.values[k]; ok && f.equal(old, v) {
		return
	}
	f.values[k] = v
	f.recordChange(k)
}

// Drop removes a key.
func (f *Feed[K, V]) Drop(k K) {
	if _, ok := f.values[k]; ok {
		delete(f.values, k)
		f.recordChange(k)
	}
}

// Get returns the value of a key, if it has one.
func (f *Feed[K, V]) Get(k K) (v V, ok bool) {
	v, ok = f.values[k]
	return v, ok
}

// Clear removes all keys. A reader that knew them receives all later values.
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

// compact discards the older half of the changes.
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

// Covers reports whether all changes after a version are remembered.
func (f *Feed[K, V]) Covers(after int64) bool {
	return after > 0 && after >= f.compactedTo && after <= f.version
}

// Since returns the changes after a version. If full is true, the changes are all current
// values, and all other keys were removed.
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
