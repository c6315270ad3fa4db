package standin

import (
	"container/list"
	"sync"

	"github.com/pathhead/pathhead/route"
)

// cacheEvent is one change of an engine's cache, in its published form.
type cacheEvent struct {
	Seq   int64       `json:"seq"`
	Op    string      `json:"op"`
	Block route.Block `json:"block"`
}

// The operations of cache events.
const (
	opStore = "store"
	opEvict = "evict"
)

// blockCache is an engine's prefix cache: an LRU cache of at most limit blocks.
type blockCache struct {
	limit int
	emit  func(op string, b route.Block)

	mu     sync.Mutex
	blocks map[route.Block]*list.Element
	order  *list.List
}

// cacheEntry holds a block and the id of the request that filled it.
type cacheEntry struct {
	block    route.Block
	filledBy string
}

func newBlockCache(limit int, emit func(string, route.Block)) *blockCache {
	return &blockCache{
		limit:  limit,
		emit:   emit,
		blocks: make(map[route.Block]*list.Element),
		order:  list.New(),
	}
}

// match returns how many leading blocks of the chain are cached and which requests
// filled them. It marks these blocks as recently used.
func (c *blockCache) match(chain []route.Block) (n int, owners []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[string]bool)
	for _, b := range chain {
		el, ok := c.blocks[b]
		if !ok {
			break
		}
		n++
		if owner := el.Value.(*cacheEntry).filledBy; !seen[owner] {
			seen[owner] = true
			owners = append(owners, owner)
		}
	}
	c.touch(chain[:n])
	return n, owners
}

// touch marks cached blocks as recently used. Deeper blocks rank behind shallower ones
// and are evicted first, since a block is of use only with all blocks before it.
func (c *blockCache) touch(chain []route.Block) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[chain[i]])
	}
}

// fill stores the blocks of a prefilled prompt and evicts the least recently used
// blocks over the limit.
func (c *blockCache) fill(chain []route.Block, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		b := chain[i]
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.order.PushFront(&cacheEntry{block: b, filledBy: owner})
		c.emit(opStore, b)
	}
	for c.order.Len() > c.limit {
		el := c.order.Back()
		b := el.Value.(*cacheEntry).block
		c.order.Remove(el)
		delete(c.blocks, b)
		c.emit(opEvict, b)
	}
}

// size returns the number of cached blocks.
func (c *blockCache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len()
}

// present returns those of the given blocks that are cached.
func (c *blockCache) present(blocks []route.Block) []route.Block {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []route.Block
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			out = append(out, b)
		}
	}
	return out
}
