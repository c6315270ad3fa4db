package node

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// streamKey is the hash of the id of the request that began a stream.
type streamKey uint64

func streamKeyOf(id string) streamKey { return streamKey(xxh3.HashString(id)) }

// Bounds of a [streamMemory]: the streams in each of its two generations, and the longest duration of a
// generation.
const (
	maxStreamsKept = 2048
	generationTime = 30 * time.Second
)

// streamMemory holds the releases of streams, in two generations.
type streamMemory struct {
	mu           sync.Mutex
	recent, past map[streamKey]string
	// begun is when the recent generation began, limit and lasts bound it.
	begun time.Time
	limit int
	lasts time.Duration
}

func newStreamMemory() *streamMemory {
	return &streamMemory{recent: make(map[streamKey]string), limit: maxStreamsKept, lasts: generationTime}
}

func (m *streamMemory) add(now time.Time, id, release string) {
	m.addKeys(now, release, streamKeyOf(id))
}

// addKeys adds streams of one release. The release of a stream that is added with different ones is not known.
func (m *streamMemory) addKeys(now time.Time, release string, keys ...streamKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		if len(m.recent) >= m.limit || now.Sub(m.begun) >= m.lasts {
			m.past, m.recent, m.begun = m.recent, make(map[streamKey]string), now
		}
		if before, ok := m.find(key); ok && before != release {
			m.recent[key] = disputedRelease
			continue
		}
		m.recent[key] = release
	}
}

// disputedRelease stands for the release of a stream that was added with different ones. It is the name of none.
const disputedRelease = "\x00"

// keep sets the shortest time for which streams are remembered, unless there are too many.
func (m *streamMemory) keep(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lasts = max(generationTime, d)
}

func (m *streamMemory) get(id string) (release string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	release, ok = m.find(streamKeyOf(id))
	return release, ok && release != disputedRelease
}

func (m *streamMemory) has(key streamKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.find(key)
	return ok
}

// find returns what is remembered of a stream. The caller holds the lock.
func (m *streamMemory) find(key streamKey) (release string, ok bool) {
	if release, ok = m.recent[key]; ok {
		return release, true
	}
	release, ok = m.past[key]
	return release, ok
}
