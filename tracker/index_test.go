package tracker_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/tracker"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// engineModel is the reference that the index is checked against: the cache of one
// engine after each of its events.
type engineModel struct {
	incarnation string
	blocks      map[chainer.Hash]bool
	events      []tracker.Event
	// history holds the cache after each event; history[0] is the empty cache before
	// the first.
	history []map[chainer.Hash]bool
}

func newEngine(incarnation string) *engineModel {
	return &engineModel{incarnation: incarnation, blocks: map[chainer.Hash]bool{}, history: []map[chainer.Hash]bool{{}}}
}

func (e *engineModel) change(block chainer.Hash, removed bool) {
	e.blocks[block] = !removed
	copied := map[chainer.Hash]bool{}
	for b, cached := range e.blocks {
		copied[b] = cached
	}
	e.history = append(e.history, copied)
	e.events = append(e.events, tracker.Event{Sequence: uint64(len(e.events) + 1), Removed: removed, Block: block})
}

func (e *engineModel) list() []chainer.Hash {
	var blocks []chainer.Hash
	for block, cached := range e.blocks {
		if cached {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// TestIndexMatchesCacheOrIsUnknown loses, repeats and reorders events, restarts the
// engine and lists its cache at random. At each step the index must report the
// cache as unknown, or match the cache as of the last event that it applied.
func TestIndexMatchesCacheOrIsUnknown(t *testing.T) {
	blocks := []chainer.Hash{{1}, {2}, {3}, {4}}
	rapid.Check(t, func(t *rapid.T) {
		engine := newEngine("one")
		previous := engine
		index := tracker.New(100)
		index.SetIncarnation("one")
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				engine.change(rapid.SampledFrom(blocks).Draw(t, "block"), rapid.Bool().Draw(t, "removed"))
			},
			"events": func(t *rapid.T) {
				var batch []tracker.Event
				for _, event := range engine.events {
					if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
						batch = append(batch, event)
					}
				}
				if len(batch) > 1 && rapid.Bool().Draw(t, "reordered") {
					batch[0], batch[len(batch)-1] = batch[len(batch)-1], batch[0]
				}
				index.Apply(engine.incarnation, batch)
			},
			"eventsOfTheDead": func(_ *rapid.T) { index.Apply(previous.incarnation, previous.events) },
			"list": func(_ *rapid.T) {
				index.Replace(engine.incarnation, uint64(len(engine.events)), engine.list())
			},
			"listOfTheDead": func(_ *rapid.T) {
				index.Replace(previous.incarnation, uint64(len(previous.events)), previous.list())
			},
			"restart": func(_ *rapid.T) {
				previous = engine
				engine = newEngine(engine.incarnation + "+")
				index.SetIncarnation(engine.incarnation)
			},
			"": func(t *rapid.T) {
				if previous != engine {
					_, known := index.Depth(previous.incarnation, blocks)
					assert.Assert(t, !known)
				}
				incarnation, sequence, _ := index.Position()
				assert.Equal(t, incarnation, engine.incarnation)
				depth, known := index.Depth(engine.incarnation, blocks)
				if !known {
					assert.Equal(t, depth, 0)
					return
				}
				wantDepth := 0
				for wantDepth < len(blocks) && engine.history[sequence][blocks[wantDepth]] {
					wantDepth++
				}
				assert.Equal(t, depth, wantDepth)
			},
		})
	})
}
