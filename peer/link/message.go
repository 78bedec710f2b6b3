// Package link carries messages between the project's own daemons.
//
// A link is one QUIC connection with mutual TLS. Each exchange has a stream of
// its own, so one can be cancelled alone. Signs of life are given on open
// exchanges and not on links, so that an idle link costs nothing. A request is one message; the reply is
// a sequence of frames. Messages are CBOR with a length prefix. The package
// carries typed values only and decides nothing.
package link

import (
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
)

// RequestKind tells what a request asks for.
type RequestKind string

// The kinds of request.
const (
	// Infer asks a sidecar to run a model request.
	Infer RequestKind = "infer"
	// Call asks a sidecar to run a request to a plain service.
	Call RequestKind = "call"
	// Attach asks a sidecar for the rest of an attempt's answer. If the attempt
	// has not arrived, it is given up and the failure proves it.
	Attach RequestKind = "attach"
	// Sync exchanges configuration revisions and documents.
	Sync RequestKind = "sync"
)

// Request is the first message on a stream.
type Request struct {
	Kind RequestKind `cbor:"kind"`
	// RequestID names the caller's request across all attempts.
	RequestID string `cbor:"requestID,omitempty"`
	// AttemptID names this attempt.
	AttemptID string `cbor:"attemptID,omitempty"`
	Service   string `cbor:"service,omitempty"`
	Workspace string `cbor:"workspace,omitempty"`
	// Revision is the configuration revision on which the sender decided.
	Revision uint64 `cbor:"revision,omitempty"`
	// SidecarIncarnation is the receiver that the sender believes to talk to.
	SidecarIncarnation string `cbor:"sidecarIncarnation,omitempty"`
	// SenderAddress is the link address of the sender.
	SenderAddress string `cbor:"sender,omitempty"`
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration `cbor:"remaining,omitempty"`
	Priority  int           `cbor:"priority,omitempty"`
	// FirstTokenIndex is the index of the first token wanted; above 0 when resuming.
	FirstTokenIndex int        `cbor:"from,omitempty"`
	Infer           *Inference `cbor:"infer,omitempty"`
	Call            *PlainCall `cbor:"call,omitempty"`
	Sync            *SyncState `cbor:"sync,omitempty"`
}

// Inference is a model request.
type Inference struct {
	Model          string `cbor:"model"`
	Adapter        string `cbor:"adapter,omitempty"`
	WeightsVersion string `cbor:"weightsVersion"`
	Prompt         []byte `cbor:"prompt"`
	MaxTokens      int    `cbor:"maxTokens"`
	// Generated holds the tokens already delivered when resuming elsewhere.
	Generated []string `cbor:"generated,omitempty"`
}

// PlainCall is a request to a plain service.
type PlainCall struct {
	Method  string   `cbor:"method"`
	Path    string   `cbor:"path"`
	Headers []Header `cbor:"headers,omitempty"`
	Body    []byte   `cbor:"body,omitempty"`
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string `cbor:"idempotencyKey,omitempty"`
	// Repeatable tells that the document allows the call to be sent again.
	Repeatable bool `cbor:"repeatable,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// FrameKind tells what a frame carries.
type FrameKind string

// The kinds of frame.
const (
	// Admitted starts the answer to an admitted model request.
	Admitted FrameKind = "admitted"
	// Token carries one token of a model answer.
	Token FrameKind = "token"
	// End closes a whole model answer.
	End FrameKind = "end"
	// Answer carries the whole answer of a plain service.
	Answer FrameKind = "answer"
	// Failure ends an exchange that did not succeed.
	Failure FrameKind = "failure"
	// KeepAlive says that the exchange is still being worked on.
	KeepAlive FrameKind = "alive"
	// SyncResult answers Sync.
	SyncResult FrameKind = "result"
)

// Frame is one message of a reply.
type Frame struct {
	Kind      FrameKind `cbor:"kind"`
	RequestID string    `cbor:"requestID,omitempty"`
	AttemptID string    `cbor:"attemptID,omitempty"`
	// Index is the token's index, or in an End frame the number of tokens.
	Index          int              `cbor:"index,omitempty"`
	Text           string           `cbor:"text,omitempty"`
	WeightsVersion string           `cbor:"weightsVersion,omitempty"`
	Answer         *PlainAnswer     `cbor:"answer,omitempty"`
	Outcome        admitter.Outcome `cbor:"outcome,omitempty"`
	// Code is the stable reason of a failure.
	Code Code `cbor:"code,omitempty"`
	// Detail explains a failure in words.
	Detail string `cbor:"detail,omitempty"`
	// RetryAfter is when a new try may succeed; 0 if not known.
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"`
	Status     *Status       `cbor:"status,omitempty"`
	Sync       *SyncState    `cbor:"sync,omitempty"`
}

// PlainAnswer is the whole answer of a plain service.
type PlainAnswer struct {
	Status  int      `cbor:"status"`
	Headers []Header `cbor:"headers,omitempty"`
	Body    []byte   `cbor:"body,omitempty"`
	// Replayed tells that the answer belongs to an earlier request with the same key.
	Replayed bool `cbor:"replayed,omitempty"`
}

// Code is a stable reason of a failure.
type Code string

// The reasons of failures.
const (
	CodeIncarnationChanged  Code = "incarnationChanged"
	CodeRevisionOutdated    Code = "revisionOutdated"
	CodeLeaving             Code = "leaving"
	CodeQueueFull           Code = "queueFull"
	CodeDeadlineTooShort    Code = "deadlineTooShort"
	CodeWeightsNotServed    Code = "weightsNotServed"
	CodeAttemptRepeated     Code = "attemptRepeated"
	CodeAttemptGivenUp      Code = "attemptGivenUp"
	CodeUnknownAttempt      Code = "unknownAttempt"
	CodeUnknownService      Code = "unknownService"
	CodeBackendServerFailed Code = "backendServerFailed"
	CodeStoreUnavailable    Code = "storeUnavailable"
	CodeKeyReused           Code = "idempotencyKeyReused"
	CodeKeyPending          Code = "idempotencyKeyPending"
	CodeKeyUnknownOutcome   Code = "idempotencyKeyUnknownOutcome"
	CodeBadRequest          Code = "badRequest"
)

// Status is what a sidecar reports of itself and its backend server with every reply.
type Status struct {
	Sidecar            string `cbor:"sidecar"`
	SidecarIncarnation string `cbor:"sidecarIncarnation"`
	EngineIncarnation  string `cbor:"engineIncarnation,omitempty"`
	// WeightsVersion is what the engine serves; empty while it serves nothing.
	WeightsVersion string `cbor:"weightsVersion,omitempty"`
	Revision       uint64 `cbor:"revision,omitempty"`
	Leaving        bool   `cbor:"leaving,omitempty"`
	// InFlight is the number of requests held for the backend server.
	InFlight int `cbor:"queued,omitempty"`
	// BacklogTokens is the prefill work in front of a new request.
	BacklogTokens int `cbor:"backlogTokens,omitempty"`
}

// SyncState is the configuration knowledge of one daemon, or a part of it.
type SyncState struct {
	// Daemon is the sender's name.
	Daemon string `cbor:"daemon"`
	// Digest is equal for two daemons that hold the same revisions.
	Digest uint64 `cbor:"digest"`
	// Full is set if Revisions lists everything that the sender holds.
	Full bool `cbor:"full,omitempty"`
	// Revisions holds the revision of every service that the sender has.
	Revisions map[string]uint64 `cbor:"revisions,omitempty"`
	// Documents holds documents that the receiver lacks.
	Documents []Document `cbor:"documents,omitempty"`
}

// Document is one accepted revision of a service document.
type Document struct {
	Service  string `cbor:"service"`
	Revision uint64 `cbor:"revision"`
	// Base, Prefix, Suffix and Sum say what Text has to be joined with; see
	// package spreader.
	Base   uint64 `cbor:"base,omitempty"`
	Prefix int    `cbor:"prefix,omitempty"`
	Suffix int    `cbor:"suffix,omitempty"`
	Sum    uint64 `cbor:"sum,omitempty"`
	Text   []byte `cbor:"text"`
}
