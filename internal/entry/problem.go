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

// problem is an error answer to a caller, as in RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is stable and meant for programs.
	Code string `json:"code"`
	// Outcome tells whether the request ran: notRun, unknown or answered.
	Outcome   admitter.Outcome `json:"outcome"`
	RequestID string           `json:"requestID,omitempty"`
	// RetryAfterSeconds is when a new try may succeed; 0 if not known.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Codes of problems that an entry finds itself.
const (
	codeUnauthorized = "unauthorized"
	codeNotFound     = "notFound"
	codeTooManyOwn   = "workspaceLimit"
	codeNoBackend    = "noBackendServer"
	codeDeadline     = "deadlineExceeded"
	codeInterrupted  = "streamInterrupted"
	codeBadRequest   = "badRequest"
)

// maxDetail bounds the detail of a problem, in bytes.
const maxDetail = 300

func newProblem(status int, code, detail string, outcome admitter.Outcome) *problem {
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
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

// notRun makes a problem for a request that did not run.
func notRun(status int, code, detail string) *problem {
	return newProblem(status, code, detail, admitter.NotRun)
}

func (p *problem) retryAfter(d time.Duration) *problem {
	if d > 0 {
		p.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	}
	return p
}

// fromFrame makes the problem that tells a caller about a failed attempt.
func fromFrame(frame *link.Frame) *problem {
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
	return newProblem(status, string(frame.Code), frame.Detail, frame.Outcome).retryAfter(frame.RetryAfter)
}

// problemOf returns the problem with which a request ended, nil for an answer.
func problemOf(result *router.Result) *problem {
	if result.Failure == nil {
		if result.Stream == nil {
			if p, ok := result.Reply.Fields.(*problem); ok {
				return p
			}
		}
		return nil
	}
	return fromFailure(result.Failure)
}

// fromFailure makes the problem that tells a caller why no replica has answered.
func fromFailure(f *router.Failure) *problem {
	outcome := admitter.Unknown
	if f.NotRun {
		outcome = admitter.NotRun
	}
	switch f.Reason {
	case router.ReasonDeadline:
		return newProblem(fasthttp.StatusGatewayTimeout, codeDeadline, "the deadline has passed", outcome)
	case router.ReasonReplicaFailed:
		if !f.NotRun {
			return newProblem(fasthttp.StatusBadGateway, codeInterrupted, "the backend server was lost", outcome).retryAfter(time.Second)
		}
	}
	return newProblem(fasthttp.StatusServiceUnavailable, codeNoBackend, "no backend server can take the request", outcome).retryAfter(max(time.Second, f.RetryAfter))
}

// interrupted makes the problem of an answer that is not whole.
func interrupted(err error) *problem {
	return newProblem(fasthttp.StatusBadGateway, codeInterrupted, err.Error(), admitter.Unknown).retryAfter(time.Second)
}

// write answers with the problem.
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
