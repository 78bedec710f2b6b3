package checker

import (
	"fmt"
	"time"
)

const (
	// goneTime is the time after a caller has closed its connection within which its request ends.
	goneTime = 500 * time.Millisecond
	// goneSlack is how many requests may reach a replica later, and goneShare the share of streams
	// that may still run.
	goneSlack, goneShare = 3, 0.25
)

// findAfterCallers finds requests that reach replicas or go on there though their callers have left.
func (h *History) findAfterCallers() (found []string) {
	var late, running []string
	streams := 0
	for _, x := range h.order {
		a := x.answer
		if a == nil || !a.Abandoned || !h.calm(x.SentAt.Add(-h.bounds.Stable), a.EndedAt.Add(goneTime), x.Machine) {
			continue
		}
		for _, run := range x.runs {
			end := a.EndedAt.Add(goneTime)
			if run.At.After(end) {
				late = append(late, fmt.Sprintf("%s reaches %s %v after its caller left %s", x.ID, run.Replica, run.At.Sub(a.EndedAt), x.Machine))
			}
			if !h.calm(x.SentAt, end, run.Replica, LinkTarget(run.Replica)) {
				continue
			}
			if x.Kind != Resumable || !run.Runs || !run.endedAt.IsZero() && run.endedAt.Before(a.EndedAt) {
				continue
			}
			streams++
			if run.endedAt.After(end) {
				running = append(running, fmt.Sprintf("%s runs at %s until %v after its caller left %s", x.ID, run.Replica, run.endedAt.Sub(a.EndedAt), x.Machine))
			}
		}
	}
	if len(late) > goneSlack {
		found = append(found, late...)
	}
	if len(running) > goneSlack && float64(len(running)) > goneShare*float64(streams) {
		found = append(found, running...)
	}
	return found
}
