package chainer_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cyclamenward/cyclamenward/chainer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawScope(t *rapid.T, name string) chainer.Scope {
	field := rapid.SampledFrom([]string{"", "a", "b", "ab", "a\x00"})
	return chainer.Scope{
		Workspace: field.Draw(t, name+" workspace"), Model: field.Draw(t, name+" model"),
		Adapter: field.Draw(t, name+" adapter"), WeightsVersion: field.Draw(t, name+" version"),
	}
}

// TestChainsAgreeOnlyInSharedPrefixes checks that the chains of two prompts are
// equal in the blocks of a common prefix if the scopes are equal, and differ in all
// other blocks.
func TestChainsAgreeOnlyInSharedPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawScope(t, "a"), drawScope(t, "b")
		sharedBlocks := rapid.IntRange(0, 3).Draw(t, "shared")
		prefix := bytes.Repeat([]byte("x"), sharedBlocks*chainer.BlockBytes)
		tail := bytes.Repeat([]byte("y"), 2*chainer.BlockBytes)
		otherTail := bytes.Repeat([]byte("z"), 2*chainer.BlockBytes)
		first := chainer.Chain(nil, a, append(bytes.Clone(prefix), tail...))
		second := chainer.Chain(nil, b, append(bytes.Clone(prefix), otherTail...))
		for i := range first {
			same := first[i] == second[i]
			assert.Equal(t, same, a == b && i < sharedBlocks, "block %d", i)
		}
	})
}

func BenchmarkChain(b *testing.B) {
	for _, kilobytes := range []int{4, 32, 128, 512} {
		prompt := bytes.Repeat([]byte("x"), kilobytes<<10)
		b.Run(fmt.Sprintf("KB=%d", kilobytes), func(b *testing.B) {
			var chain []chainer.Hash
			b.ReportAllocs()
			for b.Loop() {
				chain = chainer.Chain(chain[:0], chainer.Scope{Workspace: "w"}, prompt)
			}
		})
	}
}
