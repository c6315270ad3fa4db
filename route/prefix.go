package route

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/xxh3"
)

// Block identifies a block of a prompt together with everything before it.
//
// It is the head of a hash chain seeded with a [Salt], so blocks of different organisations,
// models, adapters or weights never have the same identity.
type Block uint64

// Part is a named part of a prompt, with its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// PartTokens returns the length of parts in tokens.
func PartTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Salt identifies the owner and the model state that cached blocks belong to.
type Salt struct {
	Org     string
	Model   string
	Adapter string
	Weights string
	// Pool and Attempt are set in place of the model where that is unknown. Attempt is unique, so that
	// nothing is shared: the weights that made a block would not be known.
	Pool, Attempt string
}

// fieldEnd separates the fields of a salt.
const fieldEnd = "\x1f"

// escapeField keeps names that contain the separator from being taken for several fields.
var escapeField = strings.NewReplacer("\x1e", "\x1e0", fieldEnd, "\x1e1")

// String returns the salt as it is sent to engines: a hash, which does not reveal the
// organisation's name.
func (s Salt) String() string {
	fields := []string{s.Org, s.Model, s.Adapter, s.Weights}
	if s.Model == "" {
		fields = append(fields, s.Pool, s.Attempt)
	}
	for i, f := range fields {
		fields[i] = escapeField.Replace(f)
	}
	text := strings.Join(fields, fieldEnd)
	sum := xxh3.HashString128(text).Bytes()
	return hex.EncodeToString(sum[:])
}

// Chain hashes the full blocks of a prompt and returns every n-th one, where n is every. Size
// is the block size in bytes; an incomplete last block is omitted.
//
// Engines that publish cache events in pathhead's format use the same chain over 64-byte
// blocks, so the blocks that Chain returns are among theirs.
func Chain(salt string, text []byte, size, every int) []Block {
	blocks := make([]Block, 0, len(text)/(size*every))
	head := xxh3.HashString(salt)
	for n := 1; len(text) >= size; n++ {
		head = xxh3.HashSeed(text[:size], head)
		text = text[size:]
		if n%every == 0 {
			blocks = append(blocks, Block(head))
		}
	}
	return blocks
}

// BlockBytes is the size of an engine block in bytes, and BlockTokens its size in tokens of
// four bytes.
const (
	BlockBytes  = 64
	BlockTokens = BlockBytes / bytesPerToken
	// ChainEvery is the number of engine blocks in one block of the router's chain.
	ChainEvery = 4

	bytesPerToken = 4
	// chainTokens is the number of tokens in one block of the router's chain.
	chainTokens = BlockTokens * ChainEvery
)

// Tokens estimates the number of tokens in a text of n bytes.
func Tokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }
