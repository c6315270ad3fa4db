package route

import "github.com/zeebo/xxh3"

// Block is the identity of one block of a prompt and of everything before it.
//
// It is the head of a hash chain seeded with a [Salt], so blocks of different
// organisations, models, adapters or weights never have the same identity.
type Block uint64

// Part is one named part of a prompt, with its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Salt identifies who and what cached blocks belong to.
type Salt struct {
	Org     string
	Model   string
	Adapter string
	Weights string
}

// fieldEnd separates the parts of a salt; names can't contain it.
const fieldEnd = "\x1f"

// String renders the salt as it is sent to engines, without the organisation's name in clear.
func (s Salt) String() string {
	sum := xxh3.HashString128(s.Org + fieldEnd + s.Model + fieldEnd + s.Adapter + fieldEnd + s.Weights).Bytes()
	const digits = "0123456789abcdef"
	out := make([]byte, 0, 2*len(sum))
	for _, b := range sum {
		out = append(out, digits[b>>4], digits[b&15])
	}
	return string(out)
}

// Chain hashes the whole blocks of a prompt; size is in bytes, and a last part that fills no block is left out.
//
// Engines that publish cache events in pathhead's form use the same chain over
// 64-byte blocks, so that Chain with a larger multiple names every n-th of theirs.
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

// BlockBytes is the size of an engine block in bytes, and BlockTokens in tokens of four bytes.
const (
	BlockBytes  = 64
	BlockTokens = BlockBytes / bytesPerToken
	// ChainEvery is how many engine blocks one block of the router's chain spans.
	ChainEvery = 4

	bytesPerToken = 4
	// chainTokens is the number of tokens that one block of the router's chain spans.
	chainTokens = BlockTokens * ChainEvery
)

// Tokens estimates the tokens of a text from its length in bytes.
func Tokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }
