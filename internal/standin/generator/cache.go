package generator

import (
	"net/http"
	"strings"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
)

// part is a cached part of a prompt.
type part struct {
	workspace string
	weights   int
}

// cacheKey names a part under its salt, with the parts before it.
func cacheKey(salt string, ids []string) string { return salt + "\n" + strings.Join(ids, ",") }

// promptParts returns the IDs of the parts of a prompt.
func promptParts(prompt string) (ids []string) {
	for entry := range strings.SplitSeq(prompt, ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, strings.TrimSpace(id))
	}
	return ids
}

// readPrompt reads the prompt of a request on a version of the weights: cached parts are used,
// first those of this replica and then those of the one to fetch from, and the others are made.
func (g *Generator) readPrompt(header http.Header, weights int) {
	id, workspace, salt := header.Get(checker.FieldRequestID), header.Get(checker.FieldWorkspace), header.Get(checker.FieldCacheSalt)
	ids := promptParts(header.Get(checker.FieldPromptPrefix))
	fetched := g.group.cachedAt(header.Get(checker.FieldFetchFrom), salt, ids)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.currentWeights() != weights {
		return
	}
	reuses := true
	for n := range ids {
		key := cacheKey(salt, ids[:n+1])
		cached, found := g.cache[key]
		if !found {
			if cached, found = fetched[key]; found {
				g.insert(salt, ids[n], key, cached)
			}
		}
		if reuses = reuses && found; reuses {
			g.history.RecordUse(checker.Use{
				ID: id, Replica: g.options.ID, Part: ids[n], Workspace: workspace, Maker: cached.workspace,
				Walled: g.options.Dedicated[workspace] || g.options.Dedicated[cached.workspace], Weights: weights, Made: cached.weights,
			})
			continue
		}
		if !found {
			g.insert(salt, ids[n], key, part{workspace, weights})
		}
	}
}

// insert caches a part. The caller holds mu.
func (g *Generator) insert(salt, id, key string, p part) {
	g.cache[key] = p
	g.events = append(g.events, []any{len(g.events) + 1, "+", salt, id, partTokens, g.options.Model})
	close(g.eventAdded)
	g.eventAdded = make(chan struct{})
}

// cached returns the cached parts of a prompt.
func (g *Generator) cached(salt string, ids []string) map[string]part {
	g.mu.Lock()
	defer g.mu.Unlock()
	parts := make(map[string]part)
	for n := range ids {
		key := cacheKey(salt, ids[:n+1])
		if p, found := g.cache[key]; found {
			parts[key] = p
		}
	}
	return parts
}
