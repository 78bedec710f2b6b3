package router

import (
	"slices"
	"sync"
	"time"
)

// rejectedRetryAfter is when a caller may retry whose request was rejected by as many replicas as
// its route allows, while others take requests.
const rejectedRetryAfter = 50 * time.Millisecond

// sentReplicas are the replicas that a request was sent to. The attempts of one request share it, those
// that are made at the same time included.
type sentReplicas struct {
	// limit is the most replicas that the request may be sent to, 0 for any number.
	limit int

	// mu guards replicas.
	mu sync.Mutex
	// replicas holds each replica once.
	replicas []*Replica
}

// add records that the request is about to be sent to a replica. It returns false if the limit does
// not allow another one; nothing may be sent then.
func (s *sentReplicas) add(replica *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.replicas, replica) {
		return true
	}
	if s.limit > 0 && len(s.replicas) >= s.limit {
		return false
	}
	s.replicas = append(s.replicas, replica)
	return true
}

// allowsAnother reports whether the request may be sent to a further replica. If current is not nil,
// it counts as one that the request is sent to.
func (s *sentReplicas) allowsAnother(current *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := len(s.replicas)
	if current != nil && !slices.Contains(s.replicas, current) {
		count++
	}
	return s.limit == 0 || count < s.limit
}

// count returns the number of replicas.
func (s *sentReplicas) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.replicas)
}

// sentFailure returns the failure of a request that may be sent to no further replica: that of
// the last attempt. If the request has not run, its caller may retry as soon as a replica takes it.
func (d *dispatch) sentFailure() *Failure {
	failure := &Failure{Reason: ReasonReplicaFailed}
	if d.lastFailure != nil {
		*failure = *d.lastFailure
	}
	if d.runAttempts > 0 {
		return failure
	}
	if unavailable := d.unavailableFailure(); unavailable != nil {
		return unavailable
	}
	failure.NotRun = true
	if _, found := d.router.choose(d.request, d.service, d.excluded, d.pins()); found {
		failure.RetryAfter = rejectedRetryAfter
	}
	return failure
}
