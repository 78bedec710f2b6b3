package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// stopSendLimit is the time after SIGTERM up to which a request may be sent that the end of the
// grace time may cut.
const stopSendLimit = 3 * time.Second

// findLost finds requests whose connection ends without a complete answer at a machine that was
// undisturbed, or that was stopped as planned.
func (h *History) findLost() (found []string) {
	for _, x := range h.order {
		a := x.answer
		if a == nil || a.Complete || a.Abandoned || a.Whole.IsZero() {
			continue
		}
		// Short answers are held back until they are whole, and 502 or 504 takes their place.
		if x.Events > 0 && (h.brokenOff(x) || a.EndedAt.Sub(x.SentAt) >= x.Timeout) {
			continue
		}
		stoppedAt, stopped := h.stopBefore(x.Machine, a.EndedAt)
		if stopped && x.outlives(stoppedAt, h.bounds.Grace) {
			continue
		}
		switch {
		case len(x.runs) > 0 && h.calm(x.SentAt, a.EndedAt, x.Machine):
			found = append(found, fmt.Sprintf("%s was passed on by %s to %s and ends without an answer at %v after %v, stopped %v", x.ID, x.Machine, x.runs[0].Replica, a.EndedAt.Format(time.StampMicro), a.EndedAt.Sub(x.SentAt), stopped))
		case stopped && a.EndedAt.Sub(a.Whole) > h.bounds.LossSlack && h.calm(x.SentAt.Add(-h.bounds.Stable), a.EndedAt, x.Machine, StoreTarget):
			found = append(found, fmt.Sprintf("%s was read by %s, which is stopped, and ends without an answer at %v after %v", x.ID, x.Machine, a.EndedAt.Format(time.StampMicro), a.EndedAt.Sub(x.SentAt)))
		}
	}
	return found
}

// brokenOff reports whether a replica, or the link to it, broke off a run of the request. The
// caller holds mu.
func (h *History) brokenOff(x *exchange) bool {
	for _, run := range x.runs {
		if run.brokeOff || !h.calm(x.SentAt, x.answer.EndedAt, LinkTarget(run.Replica)) || h.crashed(run.Replica, run.At, x.answer.EndedAt) {
			return true
		}
	}
	return false
}

// crashed reports whether a replica crashed in a span. One that has made its last event may not have sent
// the end of the stream. The caller holds mu.
func (h *History) crashed(replica string, from, to time.Time) bool {
	return slices.ContainsFunc(h.disturbances, func(d *Disturbance) bool {
		return d.Target == replica && d.Fault == FaultCrash && !d.From.Before(from) && !d.From.After(to)
	})
}

// outlives reports whether a replica was at work on the request in the last sixth of the grace time
// of a machine that was stopped shortly before the request was sent, or later.
func (x *exchange) outlives(stoppedAt time.Time, grace time.Duration) bool {
	if x.SentAt.Sub(stoppedAt) > stopSendLimit {
		return false
	}
	for _, run := range x.ran() {
		if run.endedAt.IsZero() || run.endedAt.Sub(stoppedAt) >= grace*5/6 {
			return true
		}
	}
	return false
}

// findAfterLeaving finds requests that machines in touch sent to replicas which had left.
func (h *History) findAfterLeaving() (found []string) {
	for _, x := range h.order {
		for _, run := range x.ran() {
			at, left := h.left[run.Replica]
			if left && x.SentAt.Sub(at) > h.bounds.Drain && run.At.Sub(at) > h.bounds.Drain && h.calm(at.Add(-h.bounds.Stable), at, StoreTarget) && h.calm(run.At.Add(-h.bounds.Stable), run.At, x.Machine) {
				found = append(found, fmt.Sprintf("%s of %s runs at %s, which left %v before", x.ID, x.Machine, run.Replica, run.At.Sub(at)))
			}
		}
	}
	return found
}

// cuts counts the requests that end without a complete answer, by what is known of each. The caller
// holds mu.
func (h *History) cuts() map[string]int {
	counts := make(map[string]int)
	for _, x := range h.order {
		a := x.answer
		if a == nil || a.Complete {
			continue
		}
		stoppedAt, stopped := h.stopBefore(x.Machine, a.EndedAt)
		parts := []string{"calm"}
		if !h.calm(x.SentAt, a.EndedAt, x.Machine) {
			parts[0] = "disturbed"
		}
		if stopped {
			parts = append(parts, fmt.Sprintf("stopped %ds", int(x.SentAt.Sub(stoppedAt).Seconds())))
		}
		switch {
		case a.Abandoned:
			parts = append(parts, "abandoned")
		case a.Whole.IsZero():
			parts = append(parts, "not sent")
		case a.EndedAt.Sub(a.Whole) <= h.bounds.LossSlack:
			parts = append(parts, "at once")
		default:
			parts = append(parts, "later")
		}
		if len(x.runs) > 0 {
			parts = append(parts, "passed on")
		}
		if x.Kind == AtMostOnce {
			parts = append(parts, "once")
		}
		if stopped && x.outlives(stoppedAt, h.bounds.Grace) {
			parts = append(parts, "excused")
		}
		counts[strings.Join(parts, ", ")]++
	}
	return counts
}
