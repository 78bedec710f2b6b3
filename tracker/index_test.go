package tracker_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/tracker"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// engineModel is the truth: the cache of one engine after each of its events.
type engineModel struct {
	incarnation string
	blocks      map[chainer.Hash]bool
	events      []tracker.Event
	// past holds the cache as it was after each event, past[0] being empty.
	past []map[chainer.Hash]bool
}

func newEngine(incarnation string) *engineModel {
	return &engineModel{incarnation: incarnation, blocks: map[chainer.Hash]bool{}, past: []map[chainer.Hash]bool{{}}}
}

func (e *engineModel) change(block chainer.Hash, removed bool) {
	e.blocks[block] = !removed
	copied := map[chainer.Hash]bool{}
	for b, cached := range e.blocks {
		copied[b] = cached
	}
	e.past = append(e.past, copied)
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

// TestIndexNeverClaimsWhatWasNotCached loses, repeats and reorders events,
// restarts the engine and lists its cache at random, and checks that the index
// either says that it does not know or equals the cache as of its last event.
func TestIndexNeverClaimsWhatWasNotCached(t *testing.T) {
	blocks := []chainer.Hash{{1}, {2}, {3}, {4}}
	rapid.Check(t, func(t *rapid.T) {
		engine := newEngine("one")
		dead := engine
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
			"eventsOfTheDead": func(_ *rapid.T) { index.Apply(dead.incarnation, dead.events) },
			"list": func(_ *rapid.T) {
				index.Replace(engine.incarnation, uint64(len(engine.events)), engine.list())
			},
			"listOfTheDead": func(_ *rapid.T) {
				index.Replace(dead.incarnation, uint64(len(dead.events)), dead.list())
			},
			"restart": func(_ *rapid.T) {
				dead = engine
				engine = newEngine(engine.incarnation + "+")
				index.SetIncarnation(engine.incarnation)
			},
			"": func(t *rapid.T) {
				if dead != engine {
					_, known := index.Depth(dead.incarnation, blocks)
					assert.Assert(t, !known)
				}
				incarnation, sequence, _ := index.Position()
				assert.Equal(t, incarnation, engine.incarnation)
				depth, known := index.Depth(engine.incarnation, blocks)
				if !known {
					assert.Equal(t, depth, 0)
					return
				}
				truth := 0
				for truth < len(blocks) && engine.past[sequence][blocks[truth]] {
					truth++
				}
				assert.Equal(t, depth, truth)
			},
		})
	})
}
