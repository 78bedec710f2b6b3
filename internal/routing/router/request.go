// Package router decides where requests go and brings their answers back.
//
// It knows no wire format. An interface hands it a typed Request and gets a typed
// Result; backend servers are reached through a Transport. The router chooses a
// replica, sends attempts, repeats what may be repeated within the retry budget,
// joins resumed streams and says truly whether a refused request has run.
package router

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("router")

// Errors of a transport. An error that is neither means that the request may have
// run.
var (
	// ErrNotSent means that nothing of the request has left.
	ErrNotSent = faults.NewType("notSent").New("request was not sent")
	// ErrInvalidAnswer means that the server's bytes are no answer to the request.
	ErrInvalidAnswer = faults.NewType("invalid").New("invalid answer")
)

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt is what is known of a model request's work.
type Prompt struct {
	Model string
	// Parts are in the order of the prompt. The last belongs to the request or
	// its session; those before it are shared.
	Parts []PromptPart
	// Tokens is the size of the whole prompt.
	Tokens int
	// MaxOutputTokens is the most tokens that may be generated.
	MaxOutputTokens int
	// SharingUnknown is set if the parts are pieces of one text: how much of it is shared is
	// known only once another request has begun with them.
	SharingUnknown bool
}

// Request is a caller's request. An interface fills it in.
type Request struct {
	ID string
	// Catalog and Route are the configuration that the request is handled by.
	Catalog *Catalog
	Route   *Route
	// Workspace is nil on public routes.
	Workspace *Workspace
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the caller or the route gives up, whichever is first.
	Deadline time.Time
	// CallerRetry is set if the caller seems to have been refused before.
	CallerRetry bool
	// Prompt is nil for plain services.
	Prompt *Prompt
	// LastEventID is the last event that the caller has, -1 for none.
	LastEventID int64
	// WeightsVersion is the version that the answer must be made on, 0 for any.
	WeightsVersion int
	// PreferredReplicaID is the id of a replica that is tried first, "" for none.
	PreferredReplicaID string
	// Affinity leads requests with the same value to the same plain server; 0 for any.
	Affinity uint64
	// Message is what the transport passes on; the router does not look into it.
	Message any
	// CallerGone is closed when the caller has left.
	CallerGone <-chan struct{}

	// scopes holds the names of the prompt's parts for each version of the weights that
	// was looked at.
	scopes []*parts
}

// Attempt is what a transport sends to one replica.
type Attempt struct {
	Request *Request
	// ReplicaID must be refused by any other replica.
	ReplicaID string
	// Address is the replica's IP address and port.
	Address string
	// Remaining is what is left of the request's time.
	Remaining time.Duration
	// WeightsVersion must be refused by a replica with another version; 0 for any.
	WeightsVersion int
	// CacheScope keeps cached parts of workspaces and versions apart.
	CacheScope string
	// FetchFrom is the address of a replica or cache store to fetch cached parts from, or "".
	FetchFrom string
	// SaveTo is the address of a cache store that the replica sends the parts to once
	// they are read, or "".
	SaveTo string
	// Priority is the rank of the request, 0 first.
	Priority int
	// LastEventID is the event to go on behind, -1 from the start.
	LastEventID int64
	// SameRegion is set for a replica in the daemon's own region.
	SameRegion bool
}

// Reply is the head of a replica's answer.
type Reply struct {
	Status int
	// Fields are passed on to the caller by the interface that reads them; the
	// router does not look into them.
	Fields any
	// NotRun is set if the replica says that it did not run the request.
	NotRun bool
	// WrongReplica is set if another replica has the address, or the weights
	// were of another version.
	WrongReplica bool
	// RetryAfter is when a replica that did not run the request may take it, 0 if it is
	// not known.
	RetryAfter time.Duration
	// ReplicaID is the replica that answered, "" if it is not named.
	ReplicaID string
	// WeightsVersion is the version that the answer was made on, 0 if not named.
	WeightsVersion int
	// Running and Queued are the replica's load if it tells it, else -1.
	Running, Queued int
	// NextEvent yields the events of a stream, nil for another answer.
	NextEvent func() (Event, error)
	// ReadBody reads the whole body of another answer.
	ReadBody func() ([]byte, error)
	// Close ends the exchange.
	Close func()
	// SetDeadline bounds the wait for the next bytes.
	SetDeadline func(time.Time)
}

// Event is one event of a stream.
type Event struct {
	// Raw is passed on as it is; it is valid until the next event is asked for.
	Raw []byte
	// ID grows within a stream; -1 if there is none.
	ID int64
}

// Transport reaches replicas.
type Transport struct {
	// Send sends an attempt and reads the head of its answer.
	Send func(ctx context.Context, attempt *Attempt) (*Reply, error)
}

// Failure is how a request ends without a replica's answer.
type Failure struct {
	// Reason is a stable code for logs and callers.
	Reason Reason
	// NotRun is set if it is certain that the request has not run and never will.
	NotRun bool
	// RetryAfter is when the caller should come back, if NotRun is set.
	RetryAfter time.Duration
}

// Reason is why a request failed.
type Reason string

// The reasons of failures.
const (
	// ReasonNoReplica means that no replica may take the request now.
	ReasonNoReplica Reason = "noReplica"
	// ReasonOverload means that the request would not be answered in time.
	ReasonOverload Reason = "overload"
	// ReasonRejected means that replicas did not take the request.
	ReasonRejected Reason = "rejected"
	// ReasonDeadline means that the time has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonReplicaFailed means that the replica was lost or its answer was unusable.
	ReasonReplicaFailed Reason = "broken"
	// ReasonCallerGone means that the caller has left.
	ReasonCallerGone Reason = "gone"
)

// Result is how a request ended, or a stream began.
type Result struct {
	// Failure is nil if a replica answered.
	Failure *Failure
	// Reply is the replica's answer.
	Reply *Reply
	// Body is the whole body of an answer that is not a stream.
	Body []byte
	// Stream is nil for an answer that is not a stream.
	Stream *EventStream
}
