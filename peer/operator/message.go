// Package operator holds the messages and the client of the protocol between the
// operators' command and an entry's operator address: HTTP with JSON bodies.
package operator

import "github.com/cyclamenward/cyclamenward/decoder"

// Paths of the operator address.
const (
	PathServices  = "/v1/services/"
	SuffixHistory = "/history"
	PathStatus    = "/v1/status"
	PathValidate  = "/v1/validate"
)

// HeaderOperationID carries the ID of an apply operation. After a lost reply the
// operation can be repeated with the same ID.
const HeaderOperationID = "X-Operation-Id"

// Result is the outcome of applying a document.
type Result string

// The results of applying a document.
const (
	// Accepted means that the document was accepted as the revision in the answer.
	Accepted Result = "accepted"
	// Conflict means that another revision is current; nothing was written.
	Conflict Result = "conflict"
	// NotWritten means that the store was not reached; nothing was written.
	NotWritten Result = "notWritten"
	// Unknown means that the document may or may not have been accepted.
	Unknown Result = "unknown"
	// Valid means that a document that was sent to be validated has no faults.
	Valid Result = "valid"
)

// ApplyResponse is the answer to a request to apply or validate a document.
type ApplyResponse struct {
	Result      Result `json:"result"`
	Revision    uint64 `json:"revision,omitempty"`
	OperationID string `json:"operationID,omitempty"`
}

// Failure is the answer to a request that was refused.
type Failure struct {
	Error  string            `json:"error"`
	Faults decoder.FaultList `json:"faults,omitempty"`
}

// Status lists the daemons and the revisions that each of them uses.
type Status struct {
	Daemons []Daemon `json:"daemons"`
}

// Daemon holds the revisions that a daemon uses, by service, or the error if it was not
// reached.
type Daemon struct {
	Name      string            `json:"name,omitempty"`
	Address   string            `json:"address"`
	Revisions map[string]uint64 `json:"revisions,omitempty"`
	Error     string            `json:"error,omitempty"`
}
