package arbiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// levelInterval is how long a computed share is used.
	levelInterval = 50 * time.Millisecond
	// forgottenTokens is a sum so small that a workspace is forgotten.
	forgottenTokens = 1
	// pressedShare is the part of what is asked below which there is not room for all.
	pressedShare = 0.9
)

// sum is a sum of tokens that are forgotten with the time constant memory.
type sum struct {
	value float64
	since time.Time
}

// add adds tokens.
func (s *sum) add(now time.Time, tokens float64) {
	s.value = s.at(now) + tokens
	s.since = now
}

// at returns the sum at a time.
func (s *sum) at(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-now.Sub(s.since).Seconds()/memory.Seconds())
}

// usage is what requests have asked for and what was sent of it.
type usage struct{ asked, sent sum }

// servedShare returns the part of what was asked that was sent, 1 if nothing was asked.
func (u *usage) servedShare(now time.Time) float64 {
	asked := u.asked.at(now)
	if asked < forgottenTokens {
		return 1
	}
	return min(1, u.sent.at(now)/asked)
}

// workspaceUse is what a workspace has asked for and what was sent of it.
type workspaceUse struct {
	usage
	// weight is that of the workspace's share.
	weight float64
}

// workspace returns the usage of a workspace. The caller holds mu.
func (a *Arbiter) workspace(name string) *workspaceUse {
	use := a.workspaces[name]
	if use == nil {
		use = new(workspaceUse)
		a.workspaces[name] = use
	}
	return use
}

// aboveShare reports whether a workspace has had more than its share, and returns the part of all
// sent tokens that it has had and that is due to it. The work itself does not count: one prompt may
// be larger than a share. The caller holds mu.
func (a *Arbiter) aboveShare(now time.Time, work Work) (above bool, used, share float64) {
	if now.Sub(a.leveledAt) >= levelInterval {
		a.computeLevel(now)
	}
	total := a.total.sent.at(now)
	if a.settings.sharesIgnored || total <= 0 || math.IsInf(a.level, 1) {
		return false, 0, 1
	}
	sent, due := a.workspace(work.Workspace).sent.at(now), a.level*work.Weight
	return sent > due, sent / total, due / total
}

// computeLevel divides what was sent recently among the workspaces: each gets what it asked
// for, but none more than the level for each unit of its weight. The level is infinite if there is
// room for nearly all. The caller holds mu.
func (a *Arbiter) computeLevel(now time.Time) {
	a.leveledAt, a.level = now, math.Inf(1)
	type demand struct{ tokens, weight float64 }
	demands, weights := make([]demand, 0, len(a.workspaces)), 0.0
	for name, use := range a.workspaces {
		tokens := use.asked.at(now)
		if tokens < forgottenTokens {
			delete(a.workspaces, name)
			continue
		}
		demands = append(demands, demand{tokens, use.weight})
		weights += use.weight
	}
	if len(demands) < 2 || a.total.servedShare(now) >= pressedShare {
		return
	}
	slices.SortFunc(demands, func(x, y demand) int { return cmp.Compare(x.tokens/x.weight, y.tokens/y.weight) })
	room := a.total.sent.at(now)
	for _, d := range demands {
		if d.tokens/d.weight >= room/weights {
			a.level = room / weights
			return
		}
		room -= d.tokens
		weights -= d.weight
	}
}
