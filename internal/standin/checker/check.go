package checker

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// rule finds breaks of one promise. The caller of find holds mu of the history.
type rule struct {
	name string
	find func(h *History) []string
}

// rules holds the rules by the names that the platform's pages give them.
var rules = []rule{
	{"UNASKED", (*History).findChanged},
	{"TWICE", (*History).findTwice},
	{"REFUSED", (*History).findRefusedRuns},
	{"MIXED", (*History).findMixed},
	{"DENIED", (*History).findDenied},
	{"LOST", (*History).findLost},
	{"GONE", (*History).findAfterCallers},
	{"ORDER", (*History).findStreamGaps},
	{"BUDGET", (*History).findOverBudget},
	{"CONFIG", (*History).findOldConfigurations},
	{"DRAIN", (*History).findAfterLeaving},
	{"ONE", (*History).findTurns},
	{"STALE", (*History).findStale},
	{"WALL", (*History).findShared},
	{"VERSION", (*History).findOldWeights},
	{"QUOTA", (*History).findOverQuota},
}

// Check returns all broken promises, each with the name of its rule in front.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for _, r := range rules {
		for _, text := range r.find(h) {
			all = append(all, r.name+": "+text)
		}
	}
	return all
}

// findChanged finds requests that reach a replica in another form than the caller's.
func (h *History) findChanged() (found []string) {
	for _, run := range h.unknown {
		found = append(found, fmt.Sprintf("%s %s arrives at %s as %q, which no caller sent", run.Method, run.Path, run.Replica, run.ID))
	}
	for _, x := range h.order {
		for _, run := range x.runs {
			switch {
			case run.Method != x.Method || run.Path != x.Path || run.Body != x.Body || run.Prompt != x.Prompt:
				found = append(found, fmt.Sprintf("%s arrives at %s as %s %s with %d bytes, sent as %s %s with %d", x.ID, run.Replica, run.Method, run.Path, len(run.Body), x.Method, x.Path, len(x.Body)))
			case run.Workspace != x.Workspace || run.Authorization != "":
				found = append(found, fmt.Sprintf("%s of %s arrives at %s for %q with the key %q", x.ID, x.Workspace, run.Replica, run.Workspace, run.Authorization))
			}
		}
	}
	return found
}

// ran returns the runs among the arrivals of a request.
func (x *exchange) ran() (runs []*Run) {
	for _, run := range x.runs {
		if run.Runs {
			runs = append(runs, run)
		}
	}
	return runs
}

// overlapLimit is how long two replicas may work on one stream.
const overlapLimit = 400 * time.Millisecond

// findTwice finds requests that run more than once, and streams on which two replicas work.
func (h *History) findTwice() (found []string) {
	for _, x := range h.order {
		runs := x.ran()
		if x.Kind == AtMostOnce && len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s runs %d times", x.ID, len(runs)))
		}
		if x.Kind != Resumable {
			continue
		}
		for i, later := range runs {
			// A link that holds bytes up may bring last what was sent first.
			if later.progressAt.IsZero() || !h.calm(x.SentAt, later.At, LinkTarget(later.Replica)) {
				continue
			}
			end := later.progressAt.Add(overlapLimit)
			for _, earlier := range runs[:i] {
				if !earlier.endedAt.IsZero() && earlier.endedAt.After(end) && h.calm(later.At.Add(-h.bounds.Stable), earlier.endedAt, x.Machine, earlier.Replica, LinkTarget(earlier.Replica)) {
					found = append(found, fmt.Sprintf("%s goes on at %s while %s works on it for %v", x.ID, later.Replica, earlier.Replica, earlier.endedAt.Sub(later.progressAt)))
				}
			}
		}
	}
	return found
}

// promises reports whether a status says that the request has not run and will not.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// findRefusedRuns finds requests that run though they were refused as not run.
func (h *History) findRefusedRuns() (found []string) {
	for _, x := range h.order {
		if x.Kind == AtMostOnce && x.answer != nil && promises(x.answer.Status) && len(x.ran()) > 0 {
			found = append(found, fmt.Sprintf("%s was refused with %d and runs at %s", x.ID, x.answer.Status, x.ran()[0].Replica))
		}
	}
	return found
}

// AnswerTo is the text with which replicas answer a request, or one event of it.
func AnswerTo(id string) string { return "answer to " + id + "\n" }

// findMixed finds answers that are not those of the request's own runs.
func (h *History) findMixed() (found []string) {
	for _, x := range h.order {
		a := x.answer
		if a == nil || a.Status < 200 || a.Status > 299 {
			continue
		}
		sealed := false
		for _, run := range x.ran() {
			sealed = sealed || a.Seal == Seal(run.Replica, x.ID)
		}
		switch {
		case !sealed:
			found = append(found, fmt.Sprintf("%s is answered %d with the seal %q of none of its %d runs", x.ID, a.Status, a.Seal, len(x.ran())))
		case x.Events == 0 && a.Complete && a.Body != AnswerTo(x.ID):
			found = append(found, fmt.Sprintf("%s is answered %q", x.ID, a.Body))
		}
		for _, event := range a.Events {
			if !strings.Contains(event.Data, " of "+x.ID) {
				found = append(found, fmt.Sprintf("%s gets event %d %q", x.ID, event.ID, event.Data))
			}
		}
	}
	return found
}

// Seal returns the seal of a replica on its answer to a request.
func Seal(replica, id string) string { return "seal-" + replica + "-" + id }

// findDenied finds proper requests that are answered as if the configuration forbade them.
func (h *History) findDenied() (found []string) {
	for _, x := range h.order {
		if a := x.answer; a != nil && x.Since == 0 && a.Status >= 300 && a.Status < 500 && a.Seal == "" && !promises(a.Status) {
			found = append(found, fmt.Sprintf("%s is answered %d by %s", x.ID, a.Status, x.Machine))
		}
	}
	return found
}

// findStreamGaps finds streams with missing, repeated or joined events, and streams that end as
// complete too early.
func (h *History) findStreamGaps() (found []string) {
	for _, x := range h.order {
		if x.Events == 0 || x.answer == nil || x.answer.Status != http.StatusOK {
			continue
		}
		for i, event := range x.answer.Events {
			if event.ID != i {
				found = append(found, fmt.Sprintf("%s gets event %d in place of %d", x.ID, event.ID, i))
				break
			}
		}
		if x.answer.Complete && len(x.answer.Events) < x.Events {
			found = append(found, fmt.Sprintf("%s ends as complete after %d of %d events", x.ID, len(x.answer.Events), x.Events))
		}
	}
	return found
}
