package checker

import (
	"strconv"
	"time"
)

// Header fields of the platform's protocol, spelled here a second time so that the daemons are not
// tested against their own names.
const (
	FieldRequestID      = "X-Cyclamenward-Request-Id"
	FieldDeadline       = "X-Cyclamenward-Deadline-Ms"
	FieldSeal           = "X-Cyclamenward-Replica-Seal"
	FieldWorkspace      = "X-Cyclamenward-Tenant"
	FieldExpectReplica  = "X-Cyclamenward-Expect-Replica"
	FieldExpectVersion  = "X-Cyclamenward-Expect-Version"
	FieldReplicaID      = "X-Cyclamenward-Replica-Id"
	FieldReplicaLoad    = "X-Cyclamenward-Replica-Load"
	FieldNotExecuted    = "X-Cyclamenward-Not-Executed"
	FieldWeightVersions = "X-Cyclamenward-Weight-Versions"
	FieldCacheSalt      = "X-Cyclamenward-Cache-Salt"
	FieldFetchFrom      = "X-Cyclamenward-Kv-Fetch"
	FieldModel          = "X-Cyclamenward-Model"
	FieldTokenCounts    = "X-Cyclamenward-Token-Counts"
	FieldPromptPrefix   = "X-Cyclamenward-Prompt-Prefix"
	FieldLastEventID    = "Last-Event-Id"
	FieldRetryAfter     = "Retry-After"
)

// Bounds are the figures of the promises. The daemons get them as settings.
type Bounds struct {
	// Grace is the time from SIGTERM to the end of a process.
	Grace time.Duration
	// Stable is how long a machine has to be undisturbed before bounds of time hold for it.
	Stable time.Duration
	// LossSlack is the time after the last byte of a request from which on a process has read it.
	LossSlack time.Duration
	// Drain is how long requests may still reach a replica that leaves.
	Drain time.Duration
	// ConfigDeadline is the time after which a configuration is in force everywhere, and
	// RollbackSlack the time after which a machine that has shown one may not go back.
	ConfigDeadline, RollbackSlack time.Duration
	// BudgetRatio and BudgetExtra are the retry budget of all machines in each BudgetWindow.
	BudgetRatio, BudgetExtra float64
	BudgetWindow             time.Duration
	// QuotaOver and QuotaSlack are by how much more than its quota, as a share and in tokens, a workspace
	// may run in each QuotaWindow.
	QuotaOver, QuotaSlack float64
	QuotaWindow           time.Duration
	// Lease is the time within which two holders may not take turns in sending orders.
	Lease time.Duration
	// Version is the time after which requests may not begin on older weights.
	Version time.Duration
}

// DefaultBounds returns the bounds of a small deployment.
func DefaultBounds() Bounds {
	return Bounds{
		Grace: 8 * time.Second, Stable: 4 * time.Second, LossSlack: 200 * time.Millisecond, Drain: 2500 * time.Millisecond,
		ConfigDeadline: 2500 * time.Millisecond, RollbackSlack: 250 * time.Millisecond,
		BudgetRatio: 0.2, BudgetExtra: 54, BudgetWindow: 10 * time.Second,
		QuotaOver: 0.1, QuotaSlack: 5000, QuotaWindow: 8 * time.Second,
		Lease: 3 * time.Second, Version: 8 * time.Second,
	}
}

// DeadlineOf decodes the field with the time that is left, 0 if that is not valid.
func DeadlineOf(field string) time.Duration {
	milliseconds, err := strconv.Atoi(field)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// RetryAfterOf decodes the field with the seconds until a caller may come back, 0 if that is not valid.
func RetryAfterOf(field string) time.Duration {
	seconds, err := strconv.ParseFloat(field, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Seconds encodes a time as the seconds of a header field.
func Seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
