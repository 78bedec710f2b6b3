package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// attemptsSlack is how many requests may run on more replicas than their route allows.
	attemptsSlack = 3
	// deadlineSlack is how much more time than is left may be passed on to a replica.
	deadlineSlack = 500 * time.Millisecond
	// maxLongDeadlines is how many requests may be passed on with more, and maxLongShare their share
	// of these and of all that are sent again later than deadlineSlack.
	maxLongDeadlines, maxLongShare = 20, 0.2
	// pauseSlack is the time after a replica has asked for a pause within which requests may still
	// reach it, and maxPauseArrivals how many may later.
	pauseSlack, maxPauseArrivals = 500 * time.Millisecond, 2
)

// BudgetShares are the most that was seen of each bound on repeats, as multiples of the bound.
type BudgetShares struct {
	// Windows holds the worst window of each service, and of all together under "".
	Windows map[string]float64
	// Sent is the most replicas that one request was sent to, of those that its route allows, and
	// Ran the number of requests that ran on more, of those that may.
	Sent, Ran float64
	// Deadlines is about requests with more time than is left, Pauses about arrivals in the pauses
	// that replicas ask for.
	Deadlines, Pauses float64
}

func (s BudgetShares) String() string {
	var windows []string
	for service, share := range s.Windows {
		if service == "" {
			service = "all"
		}
		windows = append(windows, fmt.Sprintf("%s %.2f", service, share))
	}
	slices.Sort(windows)
	return fmt.Sprintf("windows %s; sent %.2f, ran %.2f, deadlines %.2f, pauses %.2f", strings.Join(windows, ", "), s.Sent, s.Ran, s.Deadlines, s.Pauses)
}

// budgetShares returns how much of each bound was used. The caller holds mu.
func (h *History) budgetShares() BudgetShares {
	shares := BudgetShares{Windows: make(map[string]float64)}
	for _, service := range h.services() {
		shares.Windows[service], _ = h.worstWindow(service)
	}
	over := 0
	for _, x := range h.order {
		if x.MaxAttempts == 0 {
			continue
		}
		shares.Sent = max(shares.Sent, float64(x.replicasSent())/float64(x.MaxAttempts))
		if x.replicasRan() > x.MaxAttempts {
			over++
		}
	}
	shares.Ran = float64(over) / attemptsSlack
	long, late := h.longDeadlines()
	if n := float64(len(long)); n > 0 {
		shares.Deadlines = min(n/maxLongDeadlines, n/(maxLongShare*(n+float64(late))))
	}
	for _, arrivals := range h.pauseArrivals() {
		shares.Pauses = max(shares.Pauses, float64(arrivals.count)/maxPauseArrivals)
	}
	return shares
}

// services returns the names of the services that requests were sent to, and "" for all together.
func (h *History) services() []string {
	names := []string{""}
	for _, x := range h.order {
		if !slices.Contains(names, x.Service) {
			names = append(names, x.Service)
		}
	}
	return names
}

// worstWindow returns the most that a window has of the retry budget of a service, or of all for "",
// and where it begins. The caller holds mu.
func (h *History) worstWindow(service string) (worst float64, at time.Time) {
	var repeats, sent []time.Time
	for _, x := range h.order {
		if service != "" && x.Service != service {
			continue
		}
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

// replicasSent returns the number of replicas that the request has reached.
func (x *exchange) replicasSent() int {
	replicas := make(map[string]bool)
	for _, run := range x.runs {
		replicas[run.Replica] = true
	}
	return len(replicas)
}

// replicasRan returns the number of replicas on which the request ran, but for those that broke it off.
func (x *exchange) replicasRan() int {
	replicas := make(map[string]bool)
	for _, run := range x.ran() {
		if !run.brokeOff {
			replicas[run.Replica] = true
		}
	}
	return len(replicas)
}

// longDeadlines finds arrivals with more time than is left, and counts those that were sent again
// later than deadlineSlack after the first. The caller holds mu.
func (h *History) longDeadlines() (long []string, late int) {
	for _, x := range h.order {
		if x.MaxAttempts == 0 {
			continue
		}
		var firstEnd time.Time
		for i, run := range x.runs {
			if !h.calm(run.At.Add(-h.bounds.Stable), run.At, x.Machine, LinkTarget(run.Replica)) {
				continue
			}
			end := run.At.Add(run.Deadline)
			if firstEnd.IsZero() {
				firstEnd = end
			}
			again := i > 0 && run.At.Sub(x.runs[0].At) > deadlineSlack
			if again {
				late++
			}
			latest := firstEnd
			if own := x.SentAt.Add(x.Timeout); own.After(latest) {
				latest = own
			}
			if run.Deadline <= 0 || run.Deadline > x.Timeout+deadlineSlack || again && end.Sub(latest) > deadlineSlack {
				long = append(long, fmt.Sprintf("%s reaches %s with %v, %v after it was sent with %v", x.ID, run.Replica, run.Deadline, run.At.Sub(x.SentAt), x.Timeout))
			}
		}
	}
	return long, late
}

// pauseArrival are the arrivals at a replica, from one machine, in a pause that it has asked for.
type pauseArrival struct {
	machine, replica string
	at               time.Time
	pause            time.Duration
	count            int
}

// pauseArrivals returns the arrivals in pauses of replicas. The caller holds mu.
func (h *History) pauseArrivals() (list []pauseArrival) {
	type pair struct{ machine, replica string }
	arrivals := make(map[pair][]time.Time)
	for _, x := range h.order {
		for _, run := range x.runs {
			at := pair{x.Machine, run.Replica}
			arrivals[at] = append(arrivals[at], run.At)
		}
	}
	for _, x := range h.order {
		for _, run := range x.runs {
			from, to := run.endedAt.Add(pauseSlack), run.endedAt.Add(run.pause)
			if run.pause <= pauseSlack || !h.calm(run.endedAt, to, x.Machine) {
				continue
			}
			p := pauseArrival{machine: x.Machine, replica: run.Replica, at: run.endedAt, pause: run.pause}
			for _, at := range arrivals[pair{x.Machine, run.Replica}] {
				if at.After(from) && at.Before(to) {
					p.count++
				}
			}
			if p.count > 0 {
				list = append(list, p)
			}
		}
	}
	return list
}

// findOverBudget finds windows with more repeats than the retry budget of a service, requests with
// more attempts than their route allows or more time than is left, and requests in pauses.
func (h *History) findOverBudget() (found []string) {
	for _, service := range h.services() {
		if share, at := h.worstWindow(service); share > 1 {
			found = append(found, fmt.Sprintf("%.2f of the budget of %q from %v on", share, service, at))
		}
	}
	var over []string
	for _, x := range h.order {
		if x.MaxAttempts == 0 {
			continue
		}
		if sent := x.replicasSent(); sent > x.MaxAttempts {
			found = append(found, fmt.Sprintf("%s is sent to %d replicas of %d", x.ID, sent, x.MaxAttempts))
		}
		if ran := x.replicasRan(); ran > x.MaxAttempts {
			over = append(over, fmt.Sprintf("%s runs on %d replicas of %d", x.ID, ran, x.MaxAttempts))
		}
	}
	if len(over) > attemptsSlack {
		found = append(found, over...)
	}
	if long, late := h.longDeadlines(); len(long) > maxLongDeadlines && float64(len(long)) > maxLongShare*float64(len(long)+late) {
		found = append(found, long...)
	}
	for _, p := range h.pauseArrivals() {
		if p.count > maxPauseArrivals {
			found = append(found, fmt.Sprintf("%d requests of %s reach %s in the pause of %v that it has asked for at %v", p.count, p.machine, p.replica, p.pause, p.at))
		}
	}
	return found
}
