package enroller

import (
	"encoding/json"
	"fmt"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/zeebo/xxh3"
)

// enrolled is the value of a daemon's item.
type enrolled struct {
	Rank uint64 `json:"rank"`
}

// EncodeRank returns the value of the item of a daemon with a rank.
func EncodeRank(rank uint64) ([]byte, error) {
	value, err := json.Marshal(enrolled{Rank: rank})
	if err != nil {
		return nil, fmt.Errorf("encode enrolled daemon: %w", err)
	}
	return value, nil
}

// Ranks returns the ranks of the daemons that have enrolled, by their items.
func Ranks(items []replicator.Item) (ranks []uint64) {
	for _, item := range items {
		if item.Removed {
			continue
		}
		var e enrolled
		if err := json.Unmarshal(item.Value, &e); err != nil || e.Rank == 0 {
			// It counts, whoever wrote it.
			e.Rank = xxh3.HashString(item.Key)
		}
		ranks = append(ranks, e.Rank)
	}
	return ranks
}

// Count returns how many daemons have enrolled, by their items, and whether one of them has the key.
func Count(items []replicator.Item, key string) (count int, found bool) {
	for _, item := range items {
		if !item.Removed {
			count++
			found = found || item.Key == key
		}
	}
	return count, found
}
