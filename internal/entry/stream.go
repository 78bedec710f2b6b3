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

// partGrowth is how many parts of a long prompt follow before the next is longer by a
// block, so that a part is at most a sixteenth of what is before it.
const partGrowth = 16

// chunk is one message of an answer stream, in the usual form of the field.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []option `json:"choices"`
}

// option is one of the alternatives in an answer; there is always one.
type option struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// answer is the answer to one model request.
type answer struct {
	request *router.Request
	payload *payload
	chat    bool
	relay   *router.EventStream
}

// newAnswer prepares the request for the router.
func (e *Entry) newAnswer(ctx *fasthttp.RequestCtx, c *caller, checked *modelRequest) (*answer, *problem) {
	s, infer := checked.service, &checked.infer
	request := e.newRequest(ctx, c, checked.workspace, checked.limit)
	request.Route = s.answers
	request.Prompt = promptOf(checked.workspace.Name, infer)
	r := &answer{request: request, chat: checked.chat, payload: &payload{service: s, workspace: checked.workspace, infer: infer, sequence: sequencer.New()}}
	request.Message = r.payload
	return r, r.resumeAt(string(ctx.Request.Header.Peek(headerLastEventID)))
}

// promptOf describes the work of a request. Its parts are the blocks of the prompt; how
// many of them other requests have too is not known.
func promptOf(workspace string, infer *link.Inference) *router.Prompt {
	scope := chainer.Scope{Workspace: workspace, Model: infer.Model, Adapter: infer.Adapter}
	chain := chainer.Chain(nil, scope, infer.Prompt)
	prompt := &router.Prompt{Model: infer.Model, Tokens: chainer.EstimateTokens(len(infer.Prompt)), MaxOutputTokens: infer.MaxTokens, SharingUnknown: true}
	known := 0
	for blocks := 1; blocks <= len(chain); blocks += max(1, blocks/partGrowth) {
		prompt.Parts = append(prompt.Parts, router.PromptPart{ID: chain[blocks-1].String(), Tokens: (blocks - known) * chainer.BlockTokens})
		known = blocks
	}
	// The rest is the request's own.
	prompt.Parts = append(prompt.Parts, router.PromptPart{Tokens: max(0, prompt.Tokens-known*chainer.BlockTokens)})
	return prompt
}

// answerStream sends the answer as server-sent events. It is whole only if it
// ends with [DONE]; otherwise its last event is an error.
func (e *Entry) answerStream(ctx *fasthttp.RequestCtx, r *answer, leave func()) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer leave()
		defer r.relay.Close()
		if err := e.writeEvents(w, r); err != nil {
			e.metrics.callerGone.Add(1)
			e.logger.Info("entry: caller is gone.", "request", r.request.ID, "err", err)
		}
	})
}

func (e *Entry) writeEvents(w *bufio.Writer, r *answer) error {
	for {
		event, err := r.relay.Next()
		switch {
		case errors.Is(err, io.EOF):
			return e.writeEnd(w, r)
		case err != nil:
			return e.writeInterruption(w, r, interrupted(err))
		}
		if err := writeEvent(w, r.eventID(event.ID), r.chunk(string(event.Raw), nil)); err != nil {
			return err
		}
	}
}

// writeInterruption ends a stream that is not whole.
func (e *Entry) writeInterruption(w *bufio.Writer, r *answer, p *problem) error {
	e.metrics.interrupted.Add(1)
	e.metrics.count(admitter.Unknown)
	p.RequestID = r.request.ID
	if r.payload.sequence.Next() > r.payload.first {
		// A part was delivered, so the request as a whole did run.
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

func (e *Entry) writeEnd(w *bufio.Writer, r *answer) error {
	e.metrics.count(admitter.Answered)
	reason := "stop"
	if err := writeEvent(w, "", r.chunk("", &reason)); err != nil {
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

func (r *answer) chunk(text string, finish *string) chunk {
	c := chunk{ID: r.request.ID, Object: "text_completion", Model: r.payload.infer.Model}
	o := option{FinishReason: finish}
	if r.chat {
		c.Object = "chat.completion.chunk"
		o.Delta = &message{Role: "assistant", Content: text}
	} else {
		o.Text = text
	}
	c.Choices = []option{o}
	return c
}

// answerWhole collects the answer and sends it at once.
func (e *Entry) answerWhole(ctx *fasthttp.RequestCtx, r *answer) *problem {
	defer r.relay.Close()
	var text strings.Builder
	for {
		event, err := r.relay.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return interrupted(err)
		}
		text.Write(event.Raw)
	}
	e.metrics.count(admitter.Answered)
	reason := "stop"
	c := chunk{ID: r.request.ID, Object: "text_completion", Model: r.payload.infer.Model}
	o := option{FinishReason: &reason}
	if r.chat {
		c.Object = "chat.completion"
		o.Message = &message{Role: "assistant", Content: text.String()}
	} else {
		o.Text = text.String()
	}
	c.Choices = []option{o}
	body, err := json.Marshal(c)
	if err != nil {
		return newProblem(fasthttp.StatusInternalServerError, codeInterrupted, "answer could not be encoded", admitter.Answered)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}

// resumePoint is the part of an event id that leads back to the attempt.
type resumePoint struct {
	Service            string `cbor:"service"`
	BackendServer      string `cbor:"backendServer"`
	SidecarIncarnation string `cbor:"sidecarIncarnation"`
	Attempt            string `cbor:"attempt"`
	WeightsVersion     string `cbor:"weightsVersion"`
}

// eventID names a token so that any entry can go on behind it.
func (r *answer) eventID(index int64) string {
	m := r.payload
	point := resumePoint{
		Service:            m.service.document.Service,
		BackendServer:      strings.TrimPrefix(m.replica, replicaID(m.service.document.Service, "")),
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

// resumeAt makes the answer go on behind the event that the caller saw last. The
// attempt is read further if it is still held, and else the answer is resumed
// elsewhere on the same weights version.
func (r *answer) resumeAt(lastEventID string) *problem {
	if lastEventID == "" {
		return nil
	}
	m := r.payload
	point, index, ok := parseEventID(lastEventID)
	if !ok || point.Service != m.service.document.Service {
		return notRun(fasthttp.StatusBadRequest, codeBadRequest, "the last event id does not belong to this service")
	}
	m.first, m.held = index+1, &point
	m.sequence = sequencer.Resume(m.first, point.WeightsVersion)
	r.request.LastEventID = int64(index)
	r.request.WeightsVersion = m.service.versions.Number(point.WeightsVersion)
	r.request.PreferredReplicaID = replicaID(point.Service, point.BackendServer)
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
