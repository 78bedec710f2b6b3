// Package chainer cuts prompts into blocks of a fixed size and identifies each block
// by a hash of the block and everything before it.
//
// The chain of hashes is seeded with workspace, model, adapter and weights version.
// Two prompts share a block hash only if they share all of these and every earlier
// block, so a block of another workspace or of older weights cannot match.
package chainer

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

const (
	// BytesPerToken is the estimated number of bytes of text in one token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens = 1024
	// BlockBytes is the number of prompt bytes in one block.
	BlockBytes = BlockTokens * BytesPerToken
)

// Hash identifies one block together with its whole prefix and scope.
type Hash [16]byte

// Uint64 returns the first eight bytes as a number, for ordering and bucketing.
func (h Hash) Uint64() uint64 { return binary.LittleEndian.Uint64(h[:8]) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Scope tells what a block was computed for and with. Blocks of different scopes
// must never be mixed.
type Scope struct {
	// Workspace is the workspace that the prompt belongs to.
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
	return truncatedSum(hasher)
}

// Chain appends the hashes of the prompt's whole blocks to dst. A trailing partial
// block has no hash, because engines cache whole blocks only.
func Chain(dst []Hash, scope Scope, prompt []byte) []Hash {
	previous := scope.Seed()
	hasher := blake3.New()
	for len(prompt) >= BlockBytes {
		hasher.Reset()
		_, _ = hasher.Write(previous[:])
		_, _ = hasher.Write(prompt[:BlockBytes])
		previous = truncatedSum(hasher)
		dst = append(dst, previous)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// EstimateTokens estimates the number of tokens in n bytes of text.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// truncatedSum returns the first 16 bytes of the BLAKE3 digest.
func truncatedSum(hasher *blake3.Hasher) Hash {
	var digest [32]byte
	hasher.Sum(digest[:0])
	return Hash(digest[:16])
}
