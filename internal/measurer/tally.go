package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cyclamenward/cyclamenward/chainer"
)

// tally is what one run measured.
type tally struct {
	first *hdrhistogram.Histogram
	// promptTokens and cachedTokens are of answered requests.
	promptTokens, cachedTokens int
	wastedTokens               int
	linkBytes                  int
	requests, refusals         int
	redirects                  int
	// askedTokens and servedTokens are by workspace.
	askedTokens, servedTokens [workspaces]int
	// boundTokens is what an infinite shared cache would have hit.
	boundTokens, boundPrompt int
	boundSeen                map[chainer.Hash]bool
}

// longest is the largest time to the first token that is distinguished.
const longest = 5 * time.Minute

func newTally() tally {
	return tally{first: hdrhistogram.New(1, longest.Microseconds(), 3), boundSeen: make(map[chainer.Hash]bool)}
}

func (t *tally) asked(a arrival) {
	t.requests++
	t.askedTokens[a.workspace] += a.tokens
	t.boundPrompt += a.tokens
	for _, block := range a.chain {
		if t.boundSeen[block] {
			t.boundTokens += chainer.BlockTokens
		}
		t.boundSeen[block] = true
	}
}

func (t *tally) refuse(*request) { t.refusals++ }

func (t *tally) answer(r *request, first time.Duration, wasted int) {
	_ = t.first.RecordValue(min(first, longest).Microseconds())
	t.promptTokens += r.arrival.tokens
	t.cachedTokens += r.cached * chainer.BlockTokens
	t.wastedTokens += wasted
	t.servedTokens[r.arrival.workspace] += r.arrival.tokens
}

// merge adds another run of the same policy.
func (t *tally) merge(other tally) {
	t.first.Merge(other.first)
	t.promptTokens += other.promptTokens
	t.cachedTokens += other.cachedTokens
	t.wastedTokens += other.wastedTokens
	t.linkBytes += other.linkBytes
	t.requests += other.requests
	t.refusals += other.refusals
	t.redirects += other.redirects
	t.boundTokens += other.boundTokens
	t.boundPrompt += other.boundPrompt
	for i := range workspaces {
		t.askedTokens[i] += other.askedTokens[i]
		t.servedTokens[i] += other.servedTokens[i]
	}
}

// Row is one line of a table.
type Row struct {
	Deployment        string  `json:"deployment"`
	Fault             string  `json:"fault"`
	Policy            string  `json:"policy"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// HitRate is the share of prompt tokens that were cached.
	HitRate float64 `json:"hitRate"`
	// BoundHitRate is what an infinite shared cache would have reached.
	BoundHitRate float64       `json:"boundHitRate"`
	FirstToken50 time.Duration `json:"firstToken50Nanoseconds"`
	FirstToken95 time.Duration `json:"firstToken95Nanoseconds"`
	FirstToken99 time.Duration `json:"firstToken99Nanoseconds"`
	// RecomputedShare is the number of recomputed tokens for each prompt token.
	RecomputedShare float64 `json:"wastedShare"`
	// LinkBytesPerRequest is the volume over the link between the regions.
	LinkBytesPerRequest float64 `json:"linkBytesPerRequest"`
	RefusedShare        float64 `json:"refusedShare"`
	// RedirectsPerRequest is the number of attempts that a replica sent on, per request.
	RedirectsPerRequest float64 `json:"redirectsPerRequest"`
	// LeastServedShare and BestServed are the shares of the asked work that the least
	// and the best served workspace got.
	LeastServedShare float64 `json:"leastServed"`
	BestServedShare  float64 `json:"bestServed"`
}

func (t *tally) row(d Deployment, f Fault, p Policy) Row {
	quantile := func(q float64) time.Duration {
		return time.Duration(t.first.ValueAtQuantile(q)) * time.Microsecond
	}
	row := Row{
		Deployment: d.Name, Fault: f.Name, Policy: p.Name, RequestsPerSecond: d.RequestsPerSecond,
		HitRate:             ratio(t.cachedTokens, t.promptTokens),
		BoundHitRate:        ratio(t.boundTokens, t.boundPrompt),
		FirstToken50:        quantile(50),
		FirstToken95:        quantile(95),
		FirstToken99:        quantile(99),
		RecomputedShare:     ratio(t.wastedTokens, t.promptTokens),
		LinkBytesPerRequest: ratio(t.linkBytes, t.requests),
		RefusedShare:        ratio(t.refusals, t.requests),
		RedirectsPerRequest: ratio(t.redirects, t.requests),
		LeastServedShare:    2,
	}
	for i := range workspaces {
		if t.askedTokens[i] == 0 {
			continue
		}
		share := ratio(t.servedTokens[i], t.askedTokens[i])
		row.LeastServedShare = min(row.LeastServedShare, share)
		row.BestServedShare = max(row.BestServedShare, share)
	}
	return row
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
