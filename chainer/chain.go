// Package chainer cuts prompts into blocks and names each block by a hash that
// covers everything before it.
//
// The chain is seeded with workspace, model, adapter and weights version. Two
// prompts share a block hash only if they share all of these and every earlier
// block, so a block of another workspace or of older weights cannot match.
package chainer

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

const (
	// BytesPerToken is the estimate used to turn text into tokens.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens = 1024
	// BlockBytes is the number of prompt bytes in one block.
	BlockBytes = BlockTokens * BytesPerToken
)

// Hash names one block together with its whole prefix.
type Hash [16]byte

// Uint64 returns the first eight bytes, for ordering and bucketing.
func (h Hash) Uint64() uint64 { return binary.LittleEndian.Uint64(h[:8]) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Scope separates the caches that must never be mixed.
type Scope struct {
	// Workspace is the owner of the prompt.
	Workspace string
	// Model is the base model.
	Model string
	// Adapter is the adapter loaded on the model; empty for none.
	Adapter string
	// WeightsVersion is the version of the weights that compute the blocks.
	WeightsVersion string
}

// Seed returns the hash that starts every chain of the scope. Each field is
// length-prefixed, so no two scopes encode to the same bytes.
func (s Scope) Seed() Hash {
	hasher := blake3.New()
	var length [4]byte
	for _, field := range [...]string{s.Workspace, s.Model, s.Adapter, s.WeightsVersion} {
		binary.LittleEndian.PutUint32(length[:], uint32(len(field)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.WriteString(field)
	}
	return sum(hasher)
}

// Chain returns the hashes of the prompt's whole blocks, appended to dst. A
// trailing partial block has no hash, because engines cache whole blocks only.
func Chain(dst []Hash, scope Scope, prompt []byte) []Hash {
	previous := scope.Seed()
	hasher := blake3.New()
	for len(prompt) >= BlockBytes {
		hasher.Reset()
		_, _ = hasher.Write(previous[:])
		_, _ = hasher.Write(prompt[:BlockBytes])
		previous = sum(hasher)
		dst = append(dst, previous)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// EstimateTokens estimates the number of tokens in n bytes of text.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

func sum(hasher *blake3.Hasher) Hash {
	var full [32]byte
	hasher.Sum(full[:0])
	return Hash(full[:16])
}
