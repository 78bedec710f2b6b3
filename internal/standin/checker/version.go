package checker

import (
	"fmt"
	"net/http"
	"time"
)

// incarnation returns when the process of a machine last started before a time. The caller holds mu.
func (h *History) incarnation(machine string, at time.Time) (started time.Time) {
	for _, d := range h.disturbances {
		if d.Target == machine && d.Fault == FaultStart && !d.From.After(at) {
			started = d.From
		}
	}
	return started
}

// FaultStart is the name of the start of a process.
const FaultStart = "START"

// configured returns the first configuration with at least a number, false if there is none.
func (h *History) configured(number int) (Version, bool) {
	for _, v := range h.configurations {
		if v.Number >= number {
			return v, true
		}
	}
	return Version{}, false
}

// shown is the newest configuration that a process has shown.
type shown struct {
	number int
	at     time.Time
}

// findOldConfigurations finds requests that are handled as only an older configuration allows: too
// long after a newer one was acknowledged, or by a process that has shown a newer one.
func (h *History) findOldConfigurations() (found []string) {
	newest := make(map[string][]shown)
	process := func(x *exchange) string { return x.Machine + h.incarnation(x.Machine, x.SentAt).String() }
	for _, x := range h.order {
		for _, run := range x.ran() {
			if x.Since > 0 {
				newest[process(x)] = append(newest[process(x)], shown{x.Since, run.At})
			}
		}
	}
	for _, x := range h.order {
		if x.Since == 0 || x.answer == nil {
			continue
		}
		ran, denied := len(x.ran()) > 0, x.answer.Status == http.StatusNotFound && x.answer.Seal == ""
		since, _ := h.configured(x.Since)
		removed, isRemoved := h.configured(x.Until + 1)
		touch := h.calm(x.SentAt.Add(-h.bounds.Stable), x.answer.EndedAt, x.Machine, StoreTarget)
		switch {
		case touch && ran && isRemoved && x.SentAt.Sub(removed.AckAt) > h.bounds.ConfigDeadline:
			found = append(found, fmt.Sprintf("%s runs by way of %s %v after its route was removed", x.ID, x.Machine, x.SentAt.Sub(removed.AckAt)))
		case touch && denied && x.SentAt.Sub(since.AckAt) > h.bounds.ConfigDeadline && (!isRemoved || x.answer.EndedAt.Before(removed.SentAt)):
			found = append(found, fmt.Sprintf("%s is denied by %s %v after its route was added", x.ID, x.Machine, x.SentAt.Sub(since.AckAt)))
		}
		for _, s := range newest[process(x)] {
			if x.SentAt.Sub(s.at) <= h.bounds.RollbackSlack || !h.calm(s.at, x.answer.EndedAt, x.Machine) {
				continue
			}
			if ran && x.Until < s.number || denied && x.Since <= s.number && (!isRemoved || x.answer.EndedAt.Before(removed.SentAt)) {
				found = append(found, fmt.Sprintf("%s is handled by %s as before version %d, which it showed %v before", x.ID, x.Machine, s.number, x.SentAt.Sub(s.at)))
				break
			}
		}
	}
	return found
}

// findOldWeights finds requests that begin on older weights too long after a newer version was
// acknowledged, if nothing was disturbed meanwhile.
func (h *History) findOldWeights() (found []string) {
	for _, x := range h.order {
		for _, run := range x.ran() {
			for _, v := range h.weights {
				if run.Weights == 0 || run.Weights >= v.Number || run.At.Sub(v.AckAt) <= h.bounds.Version || h.disturbedSince(v.AckAt.Add(-h.bounds.Stable), run.At) {
					continue
				}
				found = append(found, fmt.Sprintf("%s begins at %s on weights %d, %v after %d was named", x.ID, run.Replica, run.Weights, run.At.Sub(v.AckAt), v.Number))
				break
			}
		}
	}
	return found
}

// disturbedSince reports whether any fault struck in a span. The caller holds mu.
func (h *History) disturbedSince(from, to time.Time) bool {
	for _, d := range h.disturbances {
		if !d.From.After(to) && (d.To.IsZero() || !d.To.Before(from)) {
			return true
		}
	}
	return false
}

// thawTime is the time after a pause of its sender within which an order does not count.
const thawTime = 300 * time.Millisecond

// findTurns finds orders to one replica that break the order of fencing tokens or come from holders
// that take turns.
func (h *History) findTurns() (found []string) {
	last := make(map[string]Order)
	for _, o := range h.orders {
		if !h.calm(o.At.Add(-thawTime), o.At, o.Holder) {
			continue
		}
		before, seen := last[o.Replica]
		last[o.Replica] = o
		switch {
		case !seen || before.Holder == o.Holder && o.Fence >= before.Fence:
		case o.Fence < before.Fence:
			found = append(found, fmt.Sprintf("%s gets an order of %s with token %d after %d of %s", o.Replica, o.Holder, o.Fence, before.Fence, before.Holder))
		case o.Fence == before.Fence:
			found = append(found, fmt.Sprintf("%s gets orders of %s and %s with token %d", o.Replica, before.Holder, o.Holder, o.Fence))
		case o.At.Sub(before.At) < h.bounds.Lease:
			found = append(found, fmt.Sprintf("%s gets orders of %s and %s within %v", o.Replica, before.Holder, o.Holder, o.At.Sub(before.At)))
		}
	}
	return found
}

// Use is the use of a cached part by a request.
type Use struct {
	ID, Replica, Part string
	// Workspace is who uses it, Maker who made it. Walled is set if one of them is dedicated.
	Workspace, Maker string
	Walled           bool
	// Weights is the version on which it is used, Made that under which it was made.
	Weights, Made int
}

// findStale finds requests that use parts made under another version of the weights.
func (h *History) findStale() (found []string) {
	for _, u := range h.uses {
		if u.Weights != u.Made {
			found = append(found, fmt.Sprintf("%s uses %s at %s on weights %d, made under %d", u.ID, u.Part, u.Replica, u.Weights, u.Made))
		}
	}
	return found
}

// findShared finds requests that use parts of another workspace though one is dedicated.
func (h *History) findShared() (found []string) {
	for _, u := range h.uses {
		if u.Walled && u.Workspace != u.Maker {
			found = append(found, fmt.Sprintf("%s of %s uses %s of %s at %s", u.ID, u.Workspace, u.Part, u.Maker, u.Replica))
		}
	}
	return found
}
