package enforcer

// Unit is what a quota counts.
type Unit int

// The units of quotas.
const (
	// Requests count as one each.
	Requests Unit = iota
	// Tokens are those of prompts and the most that may be generated.
	Tokens
)

// Quota bounds what all entries together send to replicas for one workspace: in any time no more than
// Rate allows in it, and Burst.
type Quota struct {
	// Rate is in units a second, 0 for no bound.
	Rate, Burst float64
	Unit        Unit
	// PlainTokens is how many tokens a request without a prompt counts as.
	PlainTokens int
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request counts as that names a number of tokens, 0 if it names none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(q.PlainTokens)
}
