// Package router chooses a replica for each request and returns the replica's answer.
//
// It does not depend on a wire format. A front end passes in a typed Request and gets a
// typed Result; replicas, which are backend servers, are reached through a Transport.
// The router chooses a replica, sends attempts, retries what may be retried within the
// retry budget, resumes interrupted streams and reports whether a refused request is
// certain not to have run.
package router

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/joomcode/errorx"
	"github.com/zeebo/xxh3"
)

var errorNamespace = errorx.NewNamespace("router")

// Errors of a transport. After any error but ErrNotSent the request may have run.
var (
	// ErrNotSent means that no part of the request was sent.
	ErrNotSent = errorNamespace.NewType("notSent").New("request was not sent")
	// ErrNoDescriptor means that this daemon lacks what a connection takes, whatever the replica is like. It
	// comes with ErrNotSent.
	ErrNoDescriptor = errorNamespace.NewType("noDescriptor").New("daemon lacks descriptors")
	// ErrInvalidAnswer means that what the server sent is not a valid answer to the
	// request.
	ErrInvalidAnswer = errorNamespace.NewType("invalid").New("invalid answer")
	// ErrExpired means that the caller has left or that the deadline has passed.
	ErrExpired = errorNamespace.NewType("expired").New("request has expired")
	// ErrStopping means that this daemon stops before the request would be answered.
	ErrStopping = errorNamespace.NewType("stopping").New("daemon stops before the request would be answered")
	// ErrOutdated means that the replica takes no requests any more.
	ErrOutdated = errorNamespace.NewType("outdated").New("replica takes no requests any more")
	// ErrOverQuota means that the quota of the request's workspace is used up.
	ErrOverQuota = errorNamespace.NewType("overQuota").New("quota of the workspace is used up")
)

// PromptPart is one part of a prompt, the unit in which prompts are cached and shared.
// A replica that has a part cached is assumed to have those before it, too.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes the work of a model request.
type Prompt struct {
	Model string
	// Parts are in the order of the prompt. The last belongs to the request or its
	// session only; those before it may be shared with other requests.
	Parts []PromptPart
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutputTokens is the most tokens that may be generated.
	MaxOutputTokens int
	// SharingUnknown is set if the parts are blocks of one text: how many of them are
	// shared is known only once another request has begun with them.
	SharingUnknown bool
}

// Request is a caller's request, filled in by a front end.
type Request struct {
	ID string
	// Catalog and Route are the configuration that applies to the request.
	Catalog *Catalog
	Route   *Route
	// Workspace is nil on public routes.
	Workspace *Workspace
	// Arrived is when the request was received.
	Arrived time.Time
	// Deadline is the end of the caller's or the route's timeout, whichever is earlier.
	Deadline time.Time
	// CallerRetry is set if the request seems to be the caller's retry of one that was
	// refused.
	CallerRetry bool
	// Prompt is nil for requests to plain servers, those without a model.
	Prompt *Prompt
	// LastEventID is the ID of the last event that the caller has, -1 for none. The
	// answer continues after it.
	LastEventID int64
	// Resumes is the ID of the request that brought the caller the first event of the stream
	// that LastEventID continues, "" if it is not named.
	Resumes string
	// WeightsVersion is the weights version that must produce the answer, 0 for any.
	WeightsVersion int
	// ContentKey is the same for requests of one caller with the same content, as from
	// NewContentKey; 0 if it is not known.
	ContentKey uint64
	// PreferredReplicaID is the ID of a replica that is tried first, "" for none.
	PreferredReplicaID string
	// Affinity is a hash; requests with the same value go to the same plain server
	// where possible. 0 means any server.
	Affinity uint64
	// Message is the payload for the transport; the router does not interpret it.
	Message any
	// CallerGone is closed when the caller has left; nil if that is not observed.
	CallerGone <-chan struct{}
	// CallerLeft reports whether the caller has left, also if CallerGone is not closed yet; nil
	// if that is not observed.
	CallerLeft func() bool

	// prefixes holds the shared prefix for each weights version that was considered.
	prefixes []*sharedPrefix
}

// NewContentKey returns a key of a request's content: its caller, path, body and whatever else
// tells requests apart.
func NewContentKey(fields ...[]byte) uint64 {
	hasher := xxh3.New()
	var length [8]byte
	for _, field := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.Write(field)
	}
	return max(1, hasher.Sum64())
}

// Attempt is one try of a request at one replica, as a transport sends it.
type Attempt struct {
	Request *Request
	// ReplicaID is the ID of the replica; any other replica must reject the attempt.
	ReplicaID string
	// Address is the replica's IP address and port.
	Address string
	// Admit is called by the transport when it is about to send the first byte. It returns the
	// time left until the request's deadline. After an error, ErrExpired, ErrStopping,
	// ErrOutdated or ErrOverQuota, the transport sends nothing and returns the error together with ErrNotSent.
	Admit func() (remaining time.Duration, err error)
	// WeightsVersion is the required weights version, 0 for any; a replica with another
	// version must reject the attempt.
	WeightsVersion int
	// CacheScope separates the cached parts of workspaces and weights versions.
	CacheScope string
	// FetchFrom is the address of a replica or cache store from which cached parts are
	// fetched, or "".
	FetchFrom string
	// SaveTo is the address of a cache store to which the replica sends the parts after
	// their prefill, or "".
	SaveTo string
	// Priority is the rank of the request, 0 first.
	Priority int
	// LastEventID is the ID of the event after which the stream continues, -1 to start
	// it.
	LastEventID int64
	// SameRegion is set for a replica in the daemon's own region.
	SameRegion bool
}

// Reply is the head of a replica's answer, with access to the rest.
type Reply struct {
	Status int
	// Fields are the header fields for the caller, which a front end reads; the router
	// does not interpret them.
	Fields any
	// NotRun is set if the replica says that it did not run the request.
	NotRun bool
	// WrongReplica is set if the replica rejects the attempt because of its ID or its
	// weights version.
	WrongReplica bool
	// RetryAfter is the time after which a replica that did not run the request may
	// take it, 0 if unknown.
	RetryAfter time.Duration
	// Leaving is set if the replica says that it leaves: it wants no new requests.
	Leaving bool
	// Pause is how long a replica that has turned the request away wants nothing from this
	// daemon, 0 if it does not say. InvalidPause is what it says if that is no duration.
	Pause        time.Duration
	InvalidPause string
	// RateLimit is how many requests a second the replica takes from all daemons together,
	// nil if it names no limit. InvalidRateLimit is what it says if that is no such number.
	RateLimit        *float64
	InvalidRateLimit string
	// ReplicaID is the ID of the replica that answered, "" if it is not named.
	ReplicaID string
	// WeightsVersion is the weights version that produced the answer, 0 if not named.
	WeightsVersion int
	// Running and Queued are the replica's load, -1 if it does not report it.
	Running, Queued int
	// HostLoad is how long work takes on the replica's host at the moment, in percent of the usual
	// time, 0 if not named.
	HostLoad int
	// NextEvent returns the next event of a stream, io.EOF at its end. It is nil for an
	// answer that is not a stream.
	NextEvent func() (Event, error)
	// EndMarked is set if the end of the stream is marked, so that one without further events is
	// complete. Else the end of a stream that is continued may be that of another answer.
	EndMarked bool
	// ReadBody reads the whole body of an answer that is not a stream.
	ReadBody func() ([]byte, error)
	// ReleaseBody releases the memory of that body, nil if there is nothing to release.
	ReleaseBody func()
	// Close ends the exchange.
	Close func()
	// SetDeadline sets the deadline for reading the next bytes.
	SetDeadline func(time.Time)
}

// Event is one event of a stream.
type Event struct {
	// Raw is the encoded event, passed on unchanged. It is valid until the next event
	// is read.
	Raw []byte
	// ID increases within a stream; -1 if the event has none.
	ID int64
}

// Transport sends attempts to replicas.
type Transport struct {
	// Send sends an attempt and reads the head of its answer.
	Send func(ctx context.Context, attempt *Attempt) (*Reply, error)
	// Concurrent is set if attempts of one request may be made at the same time.
	Concurrent bool
}

// Failure is the outcome of a request that got no answer from a replica.
type Failure struct {
	// Reason is a stable code for logs and callers.
	Reason Reason
	// NotRun is set if it is certain that the request has not run and never will.
	NotRun bool
	// RetryAfter is the time after which the caller should retry, if NotRun is set.
	RetryAfter time.Duration
}

// Reason is why a request failed.
type Reason string

// The reasons of failures.
const (
	// ReasonNoReplica means that no replica can take the request now.
	ReasonNoReplica Reason = "noReplica"
	// ReasonOverload means that the request would not be answered in time.
	ReasonOverload Reason = "overload"
	// ReasonQuota means that the quota of the request's workspace is used up.
	ReasonQuota Reason = "quota"
	// ReasonRejected means that replicas rejected the request without running it.
	ReasonRejected Reason = "rejected"
	// ReasonDeadline means that too little time was left before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonReplicaFailed means that the replica was lost or its answer was unusable.
	ReasonReplicaFailed Reason = "broken"
	// ReasonIsolated means that replicas have crashed on a part of the prompt.
	ReasonIsolated Reason = "isolated"
	// ReasonUnknownStream means that the stream cannot go on because it is not known which
	// software version began it.
	ReasonUnknownStream Reason = "unknownStream"
	// ReasonStopping means that this daemon stops before the request would be answered.
	ReasonStopping Reason = "stopping"
	// ReasonCallerGone means that the caller has left.
	ReasonCallerGone Reason = "gone"
)

// Result is the outcome of a request, or the beginning of a stream.
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

// Release releases the memory of Body.
func (r *Result) Release() {
	if r.Stream == nil && r.Reply != nil && r.Reply.ReleaseBody != nil {
		r.Reply.ReleaseBody()
	}
}
