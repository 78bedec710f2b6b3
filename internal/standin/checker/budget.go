package checker

import (
	"fmt"
	"slices"
	"time"
)

// attemptsSlack is how many requests may run on more replicas than their route allows.
const attemptsSlack = 3

// worstBudget returns the most that a window has of its retry budget, and where it begins. The
// caller holds mu.
func (h *History) worstBudget() (worst float64, at time.Time) {
	var repeats, sent []time.Time
	for _, x := range h.order {
		sent = append(sent, x.SentAt)
		for i, run := range x.runs {
			if i > 0 {
				repeats = append(repeats, run.At)
			}
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	slices.SortFunc(sent, time.Time.Compare)
	window := h.bounds.BudgetWindow
	count := func(times []time.Time, from time.Time) float64 {
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
		return float64(end - first)
	}
	for _, from := range repeats {
		most := max(count(sent, from), count(sent, from.Add(-window/2)), count(sent, from.Add(-window)))
		if share := count(repeats, from) / (h.bounds.BudgetRatio*most + h.bounds.BudgetExtra); share > worst {
			worst, at = share, from
		}
	}
	return worst, at
}

// findOverBudget finds windows with more repeats than the retry budget, and requests with more
// attempts than their route allows.
func (h *History) findOverBudget() (found []string) {
	if share, at := h.worstBudget(); share > 1 {
		found = append(found, fmt.Sprintf("%.2f of the budget from %v on", share, at))
	}
	var over []string
	for _, x := range h.order {
		replicas := make(map[string]bool)
		for _, run := range x.ran() {
			if !run.brokeOff {
				replicas[run.Replica] = true
			}
		}
		if x.MaxAttempts > 0 && len(replicas) > x.MaxAttempts {
			over = append(over, fmt.Sprintf("%s runs on %d replicas of %d", x.ID, len(replicas), x.MaxAttempts))
		}
	}
	if len(over) > attemptsSlack {
		found = append(found, over...)
	}
	return found
}
