package fakes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Prefixes are cached in blocks of this many tokens.
const (
	cacheBlockTokens = 64
	cacheBlockBytes  = cacheBlockTokens * promptBytesPerToken
)

// CacheEvent reports that a prompt prefix was added to or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix is the hexadecimal xxhash of the first Tokens*4 bytes of the prompt.
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// prefixCache holds prompt prefixes in whole blocks and evicts the least recently used block first.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, int]
	events []CacheEvent
}

// newPrefixCache returns a cache for the given number of tokens. A size below one block disables the cache.
func newPrefixCache(tokens int) *prefixCache {
	c := &prefixCache{}
	if tokens < cacheBlockTokens {
		return c
	}
	blocks, err := simplelru.NewLRU(tokens/cacheBlockTokens, c.recordEviction)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1.
	}
	c.blocks = blocks
	return c
}

// match returns the number of leading prompt tokens that are cached and marks their blocks as recently used. The last
// prompt token never counts as cached, because engines need its output to produce the first token.
func (c *prefixCache) match(prompt string) int {
	if c.blocks == nil {
		return 0
	}
	tokens := 0
	for i, hash := range prefixHashes(prompt) {
		if _, ok := c.blocks.Get(hash); !ok {
			break
		}
		tokens = (i + 1) * cacheBlockTokens
	}
	return min(tokens, PromptTokens(prompt)-1)
}

// store puts every whole block of the prompt into the cache. The first block is stored last, so that it is evicted
// last: a later block is of no use without it.
func (c *prefixCache) store(prompt string) {
	if c.blocks == nil {
		return
	}
	hashes := prefixHashes(prompt)
	for i := len(hashes) - 1; i >= 0; i-- {
		if !c.blocks.Contains(hashes[i]) {
			c.record("stored", hashes[i], (i+1)*cacheBlockTokens)
		}
		c.blocks.Add(hashes[i], (i+1)*cacheBlockTokens)
	}
}

func (c *prefixCache) recordEviction(hash uint64, tokens int) { c.record("evicted", hash, tokens) }

func (c *prefixCache) record(kind string, hash uint64, tokens int) {
	c.events = append(c.events, CacheEvent{Kind: kind, Prefix: fmt.Sprintf("%016x", hash), Tokens: tokens})
}

// takeEvents returns the events since the last call.
func (c *prefixCache) takeEvents() []CacheEvent {
	events := c.events
	c.events = nil
	return events
}

// prefixHashes returns the hash of each prefix that ends at a block boundary.
func prefixHashes(prompt string) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= cacheBlockBytes {
		_, _ = digest.WriteString(prompt[:cacheBlockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[cacheBlockBytes:]
	}
	return hashes
}
