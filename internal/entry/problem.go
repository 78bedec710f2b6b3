package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/valyala/fasthttp"
)

// problem is an error answer to a caller in the problem details format of RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is a stable identifier of the problem for programs.
	Code string `json:"code"`
	// Outcome tells whether the request ran: notRun, unknown or answered.
	Outcome   admitter.Outcome `json:"outcome"`
	RequestID string           `json:"requestID,omitempty"`
	// RetryAfterSeconds is the time after which a retry may succeed; 0 if unknown.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Codes of the problems that are detected by the entry itself.
const (
	codeUnauthorized      = "unauthorized"
	codeNotFound          = "notFound"
	codeWorkspaceLimit    = "workspaceLimit"
	codeOverloaded        = "overloaded"
	codeNoBackendServer   = "noBackendServer"
	codeDeadlineExceeded  = "deadlineExceeded"
	codeStreamInterrupted = "streamInterrupted"
	codeBadRequest        = "badRequest"
)

// maxDetailBytes bounds the detail of a problem.
const maxDetailBytes = 300

func newProblem(status int, code, detail string, outcome admitter.Outcome) *problem {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return &problem{
		Type:    "about:blank",
		Title:   fasthttp.StatusMessage(status),
		Status:  status,
		Detail:  detail,
		Code:    code,
		Outcome: outcome,
	}
}

// notRunProblem returns the problem for a request that did not run.
func notRunProblem(status int, code, detail string) *problem {
	return newProblem(status, code, detail, admitter.NotRun)
}

func (p *problem) withRetryAfter(d time.Duration) *problem {
	if d > 0 {
		p.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	}
	return p
}

// problemFromFrame returns the problem that reports a sidecar's failure frame to the
// caller.
func problemFromFrame(frame *link.Frame) *problem {
	status := fasthttp.StatusBadGateway
	switch {
	case frame.Code == link.CodeKeyReused:
		status = fasthttp.StatusUnprocessableEntity
	case frame.Code == link.CodeKeyPending || frame.Code == link.CodeKeyUnknownOutcome:
		status = fasthttp.StatusConflict
	case frame.Code == link.CodeBadRequest:
		status = fasthttp.StatusBadRequest
	case frame.Outcome == admitter.NotRun:
		status = fasthttp.StatusServiceUnavailable
	}
	return newProblem(status, string(frame.Code), frame.Detail, frame.Outcome).withRetryAfter(frame.RetryAfter)
}

// problemFromResult returns the problem that a request ended with, or nil if it was
// answered.
func problemFromResult(result *router.Result) *problem {
	if result.Failure == nil {
		if result.Stream == nil {
			if p, ok := result.Reply.Fields.(*problem); ok {
				return p
			}
		}
		return nil
	}
	return problemFromFailure(result.Failure)
}

// problemFromFailure returns the problem that reports why no replica has answered.
func problemFromFailure(f *router.Failure) *problem {
	outcome := admitter.Unknown
	if f.NotRun {
		outcome = admitter.NotRun
	}
	switch f.Reason {
	case router.ReasonDeadline:
		return newProblem(fasthttp.StatusGatewayTimeout, codeDeadlineExceeded, "the deadline has passed", outcome)
	case router.ReasonReplicaFailed:
		if !f.NotRun {
			return newProblem(fasthttp.StatusBadGateway, codeStreamInterrupted, "the backend server was lost", outcome).withRetryAfter(time.Second)
		}
	case router.ReasonStopping:
		if !f.NotRun {
			return newProblem(fasthttp.StatusBadGateway, codeStreamInterrupted, "this entry stops", outcome).withRetryAfter(time.Second)
		}
	}
	return newProblem(fasthttp.StatusServiceUnavailable, codeNoBackendServer, "no backend server can take the request", outcome).withRetryAfter(max(time.Second, f.RetryAfter))
}

// interruptedProblem returns the problem for an answer that broke off before its end.
func interruptedProblem(err error) *problem {
	return newProblem(fasthttp.StatusBadGateway, codeStreamInterrupted, err.Error(), admitter.Unknown).withRetryAfter(time.Second)
}

// write sends the problem as the HTTP response.
func (p *problem) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/problem+json")
	if p.RetryAfterSeconds > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	body, err := json.Marshal(p)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(append(body, '\n'))
}
