package entry

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
)

// partSizeDivisor bounds the parts of a prompt: a part has one block for every sixteen
// blocks before it, but at least one block. So a long prompt has few parts.
const partSizeDivisor = 16

// completionResponse is a whole answer, or one event of a streamed answer, in the usual
// format of completion APIs.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// choice is one alternative of an answer. An answer has exactly one.
type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// modelAnswer is the state of answering one model request.
type modelAnswer struct {
	request *router.Request
	payload *payload
	chat    bool
	events  *router.EventStream
}

// newModelAnswer builds the router's request for a model request. It returns a problem if
// the caller's last event ID is invalid.
func (e *Entry) newModelAnswer(ctx *fasthttp.RequestCtx, c *caller, checked *modelRequest) (*modelAnswer, *problem) {
	s, inference := checked.service, &checked.inference
	request := e.newRouterRequest(ctx, c, checked.workspace, checked.timeout)
	request.Route = s.modelRoute
	request.Prompt = newPrompt(checked.workspace.Name, inference)
	answer := &modelAnswer{request: request, chat: checked.chat, payload: &payload{service: s, workspace: checked.workspace, inference: inference, sequence: sequencer.New()}}
	request.Message = answer.payload
	return answer, answer.resumeAfter(string(ctx.Request.Header.Peek(headerLastEventID)))
}

// newPrompt describes a prompt to the router. Its parts are ranges of cache blocks; which
// of them other requests share is unknown.
func newPrompt(workspace string, inference *link.Inference) *router.Prompt {
	scope := chainer.Scope{Workspace: workspace, Model: inference.Model, Adapter: inference.Adapter}
	chain := chainer.Chain(nil, scope, inference.Prompt)
	prompt := &router.Prompt{Model: inference.Model, Tokens: chainer.EstimateTokens(len(inference.Prompt)), MaxOutputTokens: inference.MaxTokens, SharingUnknown: true}
	covered := 0
	for blocks := 1; blocks <= len(chain); blocks += max(1, blocks/partSizeDivisor) {
		prompt.Parts = append(prompt.Parts, router.PromptPart{ID: chain[blocks-1].String(), Tokens: (blocks - covered) * chainer.BlockTokens})
		covered = blocks
	}
	// What remains belongs to this request alone.
	prompt.Parts = append(prompt.Parts, router.PromptPart{Tokens: max(0, prompt.Tokens-covered*chainer.BlockTokens)})
	return prompt
}

// writeStreamedAnswer sends the answer as server-sent events. A complete stream ends with
// [DONE], any other with an error event.
func (e *Entry) writeStreamedAnswer(ctx *fasthttp.RequestCtx, answer *modelAnswer, release func()) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer release()
		defer answer.events.Close()
		if err := e.writeEvents(w, answer); err != nil {
			e.metrics.callerGone.Add(1)
			e.logger.Info("entry: caller disconnected.", "request", answer.request.ID, "err", err)
		}
	})
}

func (e *Entry) writeEvents(w *bufio.Writer, answer *modelAnswer) error {
	for {
		event, err := answer.events.Next()
		switch {
		case errors.Is(err, io.EOF):
			return e.writeEnd(w, answer)
		case err != nil:
			return e.writeInterruption(w, answer, interruptedProblem(err))
		}
		if err := writeEvent(w, answer.eventID(event.ID), answer.chunk(string(event.Raw), nil)); err != nil {
			return err
		}
	}
}

// writeInterruption ends an incomplete stream with an error event for the problem.
func (e *Entry) writeInterruption(w *bufio.Writer, answer *modelAnswer, p *problem) error {
	e.metrics.interrupted.Add(1)
	e.metrics.count(admitter.Unknown)
	p.RequestID = answer.request.ID
	if answer.payload.sequence.NextIndex() > answer.payload.firstIndex {
		// The caller has received tokens, so the request must not be reported as not run.
		p.Outcome = admitter.Unknown
	}
	body, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode problem: %w", err)
	}
	if _, err := fmt.Fprintf(w, "event: error\ndata: %s\n\n", body); err != nil {
		return fmt.Errorf("write error event: %w", err)
	}
	return w.Flush()
}

func (e *Entry) writeEnd(w *bufio.Writer, answer *modelAnswer) error {
	e.metrics.count(admitter.Answered)
	reason := "stop"
	if err := writeEvent(w, "", answer.chunk("", &reason)); err != nil {
		return err
	}
	if _, err := w.WriteString("data: [DONE]\n\n"); err != nil {
		return fmt.Errorf("write end: %w", err)
	}
	return w.Flush()
}

func writeEvent(w *bufio.Writer, id string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if id != "" {
		_, _ = fmt.Fprintf(w, "id: %s\n", id)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// chunk returns an event of the streamed answer. finishReason is nil for all but the last.
func (a *modelAnswer) chunk(text string, finishReason *string) completionResponse {
	response := completionResponse{ID: a.request.ID, Object: "text_completion", Model: a.payload.inference.Model}
	first := choice{FinishReason: finishReason}
	if a.chat {
		response.Object = "chat.completion.chunk"
		first.Delta = &message{Role: "assistant", Content: text}
	} else {
		first.Text = text
	}
	response.Choices = []choice{first}
	return response
}

// writeWholeAnswer collects all tokens and sends the answer as one JSON body.
func (e *Entry) writeWholeAnswer(ctx *fasthttp.RequestCtx, answer *modelAnswer) *problem {
	defer answer.events.Close()
	var text strings.Builder
	for {
		event, err := answer.events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return interruptedProblem(err)
		}
		text.Write(event.Raw)
	}
	e.metrics.count(admitter.Answered)
	reason := "stop"
	response := completionResponse{ID: answer.request.ID, Object: "text_completion", Model: answer.payload.inference.Model}
	first := choice{FinishReason: &reason}
	if answer.chat {
		response.Object = "chat.completion"
		first.Message = &message{Role: "assistant", Content: text.String()}
	} else {
		first.Text = text.String()
	}
	response.Choices = []choice{first}
	body, err := json.Marshal(response)
	if err != nil {
		return newProblem(fasthttp.StatusInternalServerError, codeStreamInterrupted, "answer could not be encoded", admitter.Answered)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}

// resumePoint identifies the attempt that produced an event. It is encoded in the event
// ID, so that any entry can resume the answer.
type resumePoint struct {
	Service            string `cbor:"service"`
	BackendServer      string `cbor:"backendServer"`
	SidecarIncarnation string `cbor:"sidecarIncarnation"`
	Attempt            string `cbor:"attempt"`
	WeightsVersion     string `cbor:"weightsVersion"`
}

// eventID returns the ID of a token's event, with which any entry can resume the answer
// after that token.
func (a *modelAnswer) eventID(index int64) string {
	m := a.payload
	point := resumePoint{
		Service:            m.service.document.Service,
		BackendServer:      strings.TrimPrefix(m.replicaID, replicaID(m.service.document.Service, "")),
		SidecarIncarnation: m.incarnation,
		Attempt:            m.attempt,
		WeightsVersion:     m.sequence.WeightsVersion(),
	}
	body, err := cbor.Marshal(point)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(body) + "." + strconv.FormatInt(index, 10)
}

// resumeAfter makes the answer continue after the last event that the caller received. If
// the sidecar still holds the attempt, the rest of its answer is read; otherwise another
// attempt continues the answer on the same weights version.
func (a *modelAnswer) resumeAfter(lastEventID string) *problem {
	if lastEventID == "" {
		return nil
	}
	m := a.payload
	point, index, ok := parseEventID(lastEventID)
	if !ok || point.Service != m.service.document.Service {
		return notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, "the last event id does not belong to this service")
	}
	m.firstIndex, m.heldAttempt = index+1, &point
	m.sequence = sequencer.Resume(m.firstIndex, point.WeightsVersion)
	a.request.LastEventID = int64(index)
	a.request.WeightsVersion = m.service.weightsVersions.Number(point.WeightsVersion)
	a.request.PreferredReplicaID = replicaID(point.Service, point.BackendServer)
	return nil
}

func parseEventID(id string) (resumePoint, int, bool) {
	var point resumePoint
	encoded, number, ok := strings.Cut(id, ".")
	if !ok {
		return point, 0, false
	}
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 {
		return point, 0, false
	}
	body, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || cbor.Unmarshal(body, &point) != nil {
		return point, 0, false
	}
	return point, index, true
}
