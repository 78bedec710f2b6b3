// Package operator speaks the protocol between the operators' command and an
// entry's operator address: HTTP with JSON bodies.
package operator

import "github.com/cyclamenward/cyclamenward/decoder"

// Paths of the operator address.
const (
	PathServices  = "/v1/services/"
	SuffixHistory = "/history"
	PathStatus    = "/v1/status"
	PathValidate  = "/v1/validate"
)

// HeaderOperationID names an application, so that a lost reply can be resolved.
const HeaderOperationID = "X-Operation-Id"

// Result tells what became of an application.
type Result string

// The results of an application.
const (
	// Accepted means that the document is the revision named.
	Accepted Result = "accepted"
	// Conflict means that another revision is current; nothing was written.
	Conflict Result = "conflict"
	// NotWritten means that the store was not reached; nothing was written.
	NotWritten Result = "notWritten"
	// Unknown means that the document may or may not have been accepted.
	Unknown Result = "unknown"
	// Valid means that the document has no faults; nothing was to be written.
	Valid Result = "valid"
)

// ApplyResponse is the answer to an application.
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

// Status tells which revisions every daemon has in force.
type Status struct {
	Daemons []Daemon `json:"daemons"`
}

// Daemon is one daemon's state.
type Daemon struct {
	Name      string            `json:"name,omitempty"`
	Address   string            `json:"address"`
	Revisions map[string]uint64 `json:"revisions,omitempty"`
	Error     string            `json:"error,omitempty"`
}
