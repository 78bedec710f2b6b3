// Package link carries messages between the project's own daemons.
//
// A link is one QUIC connection with mutual TLS. Each exchange has a stream of
// its own, so that it can be canceled without affecting others. Keep-alive frames
// are sent on open exchanges and not on links, so that an idle link costs nothing. A
// request is one message; the reply is a sequence of frames. Messages are CBOR with
// a 4-byte length prefix. The package only transports messages; its callers act on
// them.
package link

import (
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
)

// RequestKind selects what the receiver does with a request.
type RequestKind string

// The kinds of request.
const (
	// Infer runs an inference request on the sidecar's engine.
	Infer RequestKind = "infer"
	// Call runs an HTTP request on the sidecar's plain service.
	Call RequestKind = "call"
	// Attach requests the rest of the answer of an earlier attempt from its sidecar. If
	// that attempt has not arrived yet, the sidecar refuses it from then on and replies
	// with a failure that proves that it did not run.
	Attach RequestKind = "attach"
	// Sync exchanges configuration revisions and documents between any two daemons.
	Sync RequestKind = "sync"
)

// Request is the first message on a stream.
type Request struct {
	Kind RequestKind `cbor:"kind"`
	// RequestID identifies the caller's request across all attempts.
	RequestID string `cbor:"requestID,omitempty"`
	// AttemptID identifies this attempt, or with Attach the earlier one.
	AttemptID string `cbor:"attemptID,omitempty"`
	Service   string `cbor:"service,omitempty"`
	Workspace string `cbor:"workspace,omitempty"`
	// Revision is the revision of the service document on which the sender based its
	// decision.
	Revision uint64 `cbor:"revision,omitempty"`
	// SidecarIncarnation is the sidecar incarnation that the sender expects. It changes
	// with every restart, after which the sidecar no longer knows earlier attempts.
	SidecarIncarnation string `cbor:"sidecarIncarnation,omitempty"`
	// SenderAddress is the link address of the sender, from which the receiver can fetch
	// a newer document.
	SenderAddress string `cbor:"sender,omitempty"`
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration `cbor:"remaining,omitempty"`
	// BeforeSend is called once the exchange is open, right before the request is sent, and may
	// change it. After an error nothing is sent. It may be nil.
	BeforeSend func(*Request) error `cbor:"-"`
	Priority   int                  `cbor:"priority,omitempty"`
	// FirstTokenIndex is the index of the first token wanted; above 0 when resuming.
	FirstTokenIndex int        `cbor:"from,omitempty"`
	Infer           *Inference `cbor:"infer,omitempty"`
	Call            *PlainCall `cbor:"call,omitempty"`
	Sync            *SyncState `cbor:"sync,omitempty"`
}

// Inference holds the parameters of an Infer request.
type Inference struct {
	Model          string `cbor:"model"`
	Adapter        string `cbor:"adapter,omitempty"`
	WeightsVersion string `cbor:"weightsVersion"`
	Prompt         []byte `cbor:"prompt"`
	MaxTokens      int    `cbor:"maxTokens"`
	// Generated holds the tokens already delivered to the caller when the answer is
	// resumed on another backend server.
	Generated []string `cbor:"generated,omitempty"`
}

// PlainCall holds the HTTP request of a Call request.
type PlainCall struct {
	Method  string   `cbor:"method"`
	Path    string   `cbor:"path"`
	Headers []Header `cbor:"headers,omitempty"`
	Body    []byte   `cbor:"body,omitempty"`
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string `cbor:"idempotencyKey,omitempty"`
	// Repeatable is set if the service document lists the call as safe to repeat.
	Repeatable bool `cbor:"repeatable,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// FrameKind says what a frame carries.
type FrameKind string

// The kinds of frame.
const (
	// Admitted is the first frame of the answer to an inference request, sent once the
	// engine has admitted it.
	Admitted FrameKind = "admitted"
	// Token carries one token of the answer to an inference request.
	Token FrameKind = "token"
	// End completes the answer to an inference request.
	End FrameKind = "end"
	// Answer carries the complete answer of a plain service.
	Answer FrameKind = "answer"
	// Failure ends an exchange that did not succeed.
	Failure FrameKind = "failure"
	// KeepAlive is sent while a reply takes time, so that the receiver does not treat the
	// peer as lost. Receive skips it.
	KeepAlive FrameKind = "alive"
	// SyncResult is the reply to a Sync request.
	SyncResult FrameKind = "result"
)

// Frame is one message of a reply.
type Frame struct {
	Kind      FrameKind `cbor:"kind"`
	RequestID string    `cbor:"requestID,omitempty"`
	AttemptID string    `cbor:"attemptID,omitempty"`
	// Index is the token's index, or in an End frame the number of tokens.
	Index          int          `cbor:"index,omitempty"`
	Text           string       `cbor:"text,omitempty"`
	WeightsVersion string       `cbor:"weightsVersion,omitempty"`
	Answer         *PlainAnswer `cbor:"answer,omitempty"`
	// Outcome is what is known about the attempt.
	Outcome admitter.Outcome `cbor:"outcome,omitempty"`
	// Code is the machine-readable reason of a failure.
	Code Code `cbor:"code,omitempty"`
	// Detail explains a failure in words.
	Detail string `cbor:"detail,omitempty"`
	// RetryAfter is how long to wait before a retry may succeed; 0 if not known.
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"`
	Status     *Status       `cbor:"status,omitempty"`
	Sync       *SyncState    `cbor:"sync,omitempty"`
}

// PlainAnswer is the complete HTTP answer of a plain service.
type PlainAnswer struct {
	Status  int      `cbor:"status"`
	Headers []Header `cbor:"headers,omitempty"`
	Body    []byte   `cbor:"body,omitempty"`
	// Replayed is set if the answer is that of an earlier request with the same
	// idempotency key.
	Replayed bool `cbor:"replayed,omitempty"`
}

// Code is the machine-readable reason of a failure. Its values do not change between
// versions.
type Code string

// The reasons of failures. Key stands for the caller's idempotency key.
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

// Status is the state of a sidecar and its backend server, which it reports with every
// reply.
type Status struct {
	Sidecar            string `cbor:"sidecar"`
	SidecarIncarnation string `cbor:"sidecarIncarnation"`
	EngineIncarnation  string `cbor:"engineIncarnation,omitempty"`
	// WeightsVersion is the weights version that the engine serves; empty while it serves
	// none.
	WeightsVersion string `cbor:"weightsVersion,omitempty"`
	// Revision is the revision of the service document that the sidecar holds; 0 if it
	// holds none.
	Revision uint64 `cbor:"revision,omitempty"`
	Leaving  bool   `cbor:"leaving,omitempty"`
	// InFlight is the number of requests that wait for the engine or run on it.
	InFlight int `cbor:"queued,omitempty"`
	// BacklogTokens is the number of prompt tokens to be prefilled before a new request.
	BacklogTokens int `cbor:"backlogTokens,omitempty"`
}

// SyncState describes the configuration revisions that one daemon holds, or a part of
// them.
type SyncState struct {
	// Daemon is the name of the sending daemon.
	Daemon string `cbor:"daemon"`
	// Digest is a hash of all revisions held; it is equal for two daemons that hold the
	// same ones.
	Digest uint64 `cbor:"digest"`
	// Full is set if Revisions lists everything that the sender holds.
	Full bool `cbor:"full,omitempty"`
	// Revisions maps services to the revisions that the sender holds, all of them if
	// Full is set.
	Revisions map[string]uint64 `cbor:"revisions,omitempty"`
	// Documents holds documents that the receiver lacks or has in an older revision.
	Documents []Document `cbor:"documents,omitempty"`
	// Watcher is the sender's address if the store has just answered its watch.
	Watcher string `cbor:"watcher,omitempty"`
}

// Document is one accepted revision of a service document.
type Document struct {
	Service  string `cbor:"service"`
	Revision uint64 `cbor:"revision"`
	// Base, Prefix, Suffix and Sum describe a delta. Text then replaces all but the first
	// Prefix and the last Suffix bytes of revision Base, and Sum is the hash of the
	// result. A Base of 0 means that Text is the whole document. See package spreader.
	Base   uint64 `cbor:"base,omitempty"`
	Prefix int    `cbor:"prefix,omitempty"`
	Suffix int    `cbor:"suffix,omitempty"`
	Sum    uint64 `cbor:"sum,omitempty"`
	Text   []byte `cbor:"text"`
}
