package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cyclamenward/cyclamenward/chainer"
)

// tally holds the counts and times of one or more runs.
type tally struct {
	// firstToken holds the times to the first token in microseconds.
	firstToken *hdrhistogram.Histogram
	// The counts of tokens are of answered requests. recomputedTokens were prefilled
	// although some engine had prefilled them before.
	promptTokens, cachedTokens int
	recomputedTokens           int
	linkBytes                  int
	requests, refusals         int
	redirects                  int
	// offeredTokens and servedTokens are the prompt tokens of all and of the answered
	// requests, by workspace.
	offeredTokens, servedTokens [workspaceCount]int
	// boundCachedTokens of boundPromptTokens would have been cache hits in an infinite
	// cache that all engines share; boundSeenBlocks holds the blocks in it.
	boundCachedTokens, boundPromptTokens int
	boundSeenBlocks                      map[chainer.Hash]bool
}

// maxFirstToken is the upper end of the histogram; longer times count as this.
const maxFirstToken = 5 * time.Minute

// newTally returns an empty tally.
func newTally() tally {
	return tally{firstToken: hdrhistogram.New(1, maxFirstToken.Microseconds(), 3), boundSeenBlocks: make(map[chainer.Hash]bool)}
}

// recordArrival counts a request when it arrives at its entry.
func (t *tally) recordArrival(a arrival) {
	t.requests++
	t.offeredTokens[a.workspace] += a.tokens
	t.boundPromptTokens += a.tokens
	for _, block := range a.chain {
		if t.boundSeenBlocks[block] {
			t.boundCachedTokens += chainer.BlockTokens
		}
		t.boundSeenBlocks[block] = true
	}
}

// recordRefusal counts a request that no replica could take.
func (t *tally) recordRefusal(*request) { t.refusals++ }

// recordAnswer counts an answered request with its time to the first token and its
// recomputed tokens.
func (t *tally) recordAnswer(r *request, firstToken time.Duration, recomputed int) {
	_ = t.firstToken.RecordValue(min(firstToken, maxFirstToken).Microseconds())
	t.promptTokens += r.arrival.tokens
	t.cachedTokens += r.cachedBlocks * chainer.BlockTokens
	t.recomputedTokens += recomputed
	t.servedTokens[r.arrival.workspace] += r.arrival.tokens
}

// merge adds the counts and times of another run of the same policy.
func (t *tally) merge(other tally) {
	t.firstToken.Merge(other.firstToken)
	t.promptTokens += other.promptTokens
	t.cachedTokens += other.cachedTokens
	t.recomputedTokens += other.recomputedTokens
	t.linkBytes += other.linkBytes
	t.requests += other.requests
	t.refusals += other.refusals
	t.redirects += other.redirects
	t.boundCachedTokens += other.boundCachedTokens
	t.boundPromptTokens += other.boundPromptTokens
	for i := range workspaceCount {
		t.offeredTokens[i] += other.offeredTokens[i]
		t.servedTokens[i] += other.servedTokens[i]
	}
}

// Row holds the figures of one policy in one deployment under one fault.
type Row struct {
	Deployment        string  `json:"deployment"`
	Fault             string  `json:"fault"`
	Policy            string  `json:"policy"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// HitRate is the share of the answered requests' prompt tokens that were cached.
	HitRate float64 `json:"hitRate"`
	// BoundHitRate is the hit rate of an infinite cache that all engines share.
	BoundHitRate float64 `json:"boundHitRate"`
	// FirstToken50, FirstToken95 and FirstToken99 are percentiles of the time to the
	// first token.
	FirstToken50 time.Duration `json:"firstToken50Nanoseconds"`
	FirstToken95 time.Duration `json:"firstToken95Nanoseconds"`
	FirstToken99 time.Duration `json:"firstToken99Nanoseconds"`
	// RecomputedShare is the share of the prompt tokens that were prefilled although
	// some engine had prefilled them before.
	RecomputedShare float64 `json:"wastedShare"`
	// LinkBytesPerRequest is the volume sent over the link between the regions.
	LinkBytesPerRequest float64 `json:"linkBytesPerRequest"`
	RefusedShare        float64 `json:"refusedShare"`
	// RedirectsPerRequest is the mean number of replicas that redirected a request.
	RedirectsPerRequest float64 `json:"redirectsPerRequest"`
	// LeastServedShare and BestServedShare are the answered shares of the prompt tokens
	// offered by the least and the best served workspace.
	LeastServedShare float64 `json:"leastServed"`
	BestServedShare  float64 `json:"bestServed"`
}

// toRow returns the figures of a tally.
func (t *tally) toRow(d Deployment, f Fault, p Policy) Row {
	quantile := func(q float64) time.Duration {
		return time.Duration(t.firstToken.ValueAtQuantile(q)) * time.Microsecond
	}
	row := Row{
		Deployment: d.Name, Fault: f.Name, Policy: p.Name, RequestsPerSecond: d.RequestsPerSecond,
		HitRate:             ratio(t.cachedTokens, t.promptTokens),
		BoundHitRate:        ratio(t.boundCachedTokens, t.boundPromptTokens),
		FirstToken50:        quantile(50),
		FirstToken95:        quantile(95),
		FirstToken99:        quantile(99),
		RecomputedShare:     ratio(t.recomputedTokens, t.promptTokens),
		LinkBytesPerRequest: ratio(t.linkBytes, t.requests),
		RefusedShare:        ratio(t.refusals, t.requests),
		RedirectsPerRequest: ratio(t.redirects, t.requests),
		LeastServedShare:    2, // above any share, for min below
	}
	for i := range workspaceCount {
		if t.offeredTokens[i] == 0 {
			continue
		}
		share := ratio(t.servedTokens[i], t.offeredTokens[i])
		row.LeastServedShare = min(row.LeastServedShare, share)
		row.BestServedShare = max(row.BestServedShare, share)
	}
	return row
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
