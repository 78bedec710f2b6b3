package checker

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Quota bounds what a workspace may run on all machines together: Rate tokens a second, and Burst beyond that.
type Quota struct{ Rate, Burst float64 }

// allowed returns how many tokens a workspace may have run in a window that begins at a time: by the most
// generous version of the configuration that may be in force then. The caller holds mu.
func (h *History) allowed(workspace string, from time.Time) float64 {
	most := 0.0
	for i, version := range h.configurations {
		if version.SentAt.After(from.Add(h.bounds.QuotaWindow)) {
			continue
		}
		// A lower limit binds one window after all machines have it, which may have been out of touch.
		if i+1 < len(h.configurations) {
			next := h.configurations[i+1].AckAt
			if next.Add(h.bounds.ConfigDeadline + h.bounds.Stable + h.bounds.QuotaWindow).Before(from) {
				continue
			}
		}
		quota, limited := version.Quotas[workspace]
		if !limited {
			return math.Inf(1)
		}
		most = max(most, (quota.Rate*h.bounds.QuotaWindow.Seconds()+quota.Burst)*(1+h.bounds.QuotaOver)+h.bounds.QuotaSlack)
	}
	return most
}

// findOverQuota finds windows in which more of a workspace was both sent and began to run than its quota
// allows.
func (h *History) findOverQuota() (found []string) {
	limited := make(map[string]bool)
	for _, version := range h.configurations {
		for workspace := range version.Quotas {
			limited[workspace] = true
		}
	}
	for _, workspace := range slices.Sorted(maps.Keys(limited)) {
		worst, at := h.worstQuotaWindow(workspace)
		if worst > 1 {
			found = append(found, fmt.Sprintf("%s ran %.2f times what its quota allows in %v from %s on", workspace, worst, h.bounds.QuotaWindow, at.Format(time.TimeOnly)))
		}
	}
	return found
}

// worstQuotaWindow returns the most that a window has of the quota of a workspace, and where it begins. The
// caller holds mu.
func (h *History) worstQuotaWindow(workspace string) (worst float64, at time.Time) {
	type use struct {
		sentAt, ranAt time.Time
		tokens        float64
	}
	var uses []use
	for _, x := range h.order {
		if runs := x.ran(); x.Workspace == workspace && len(runs) > 0 {
			uses = append(uses, use{x.SentAt, runs[0].At, x.Tokens})
		}
	}
	slices.SortFunc(uses, func(a, b use) int { return a.sentAt.Compare(b.sentAt) })
	for i, first := range uses {
		sum, end := 0.0, first.sentAt.Add(h.bounds.QuotaWindow)
		for _, u := range uses[i:] {
			if u.sentAt.After(end) {
				break
			}
			if !u.ranAt.After(end) {
				sum += u.tokens
			}
		}
		if share := sum / h.allowed(workspace, first.sentAt); share > worst {
			worst, at = share, first.sentAt
		}
	}
	return worst, at
}
