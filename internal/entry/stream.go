package entry

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
)

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

// answerStream sends the answer as server-sent events. It is whole only if it
// ends with [DONE]; otherwise its last event is an error.
func (e *Entry) answerStream(ctx *fasthttp.RequestCtx, r *run, leave func()) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer leave()
		defer r.close()
		if err := e.writeEvents(w, r); err != nil {
			e.metrics.callerGone.Add(1)
			e.logger.Info("entry: caller is gone.", "request", r.requestID, "err", err)
		}
	})
}

func (e *Entry) writeEvents(w *bufio.Writer, r *run) error {
	for {
		text, done, p := r.pull()
		switch {
		case p != nil:
			return e.writeInterruption(w, r, p)
		case done:
			return e.writeEnd(w, r)
		}
		if err := writeEvent(w, r.eventID(r.sequence.Next()-1), r.chunk(text, nil)); err != nil {
			return err
		}
	}
}

// writeInterruption ends a stream that is not whole.
func (e *Entry) writeInterruption(w *bufio.Writer, r *run, p *problem) error {
	e.metrics.interrupted.Add(1)
	e.metrics.count(admitter.Unknown)
	p.RequestID = r.requestID
	if r.sequence.Next() > r.first {
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

func (e *Entry) writeEnd(w *bufio.Writer, r *run) error {
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

func (r *run) chunk(text string, finish *string) chunk {
	c := chunk{ID: r.requestID, Object: "text_completion", Model: r.request.infer.Model}
	o := option{FinishReason: finish}
	if r.request.chat {
		c.Object = "chat.completion.chunk"
		o.Delta = &message{Role: "assistant", Content: text}
	} else {
		o.Text = text
	}
	c.Choices = []option{o}
	return c
}

// answerWhole collects the answer and sends it at once.
func (e *Entry) answerWhole(ctx *fasthttp.RequestCtx, r *run) *problem {
	defer r.close()
	var text strings.Builder
	for {
		piece, done, p := r.pull()
		if p != nil {
			return p
		}
		if done {
			break
		}
		text.WriteString(piece)
	}
	e.metrics.count(admitter.Answered)
	reason := "stop"
	c := chunk{ID: r.requestID, Object: "text_completion", Model: r.request.infer.Model}
	o := option{FinishReason: &reason}
	if r.request.chat {
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
func (r *run) eventID(index int) string {
	point := resumePoint{
		Service:            r.request.service.document.Service,
		BackendServer:      r.request.service.pool.Replica(r.index).Name,
		SidecarIncarnation: r.request.service.incarnationOf(r.index),
		Attempt:            r.attempt,
		WeightsVersion:     r.sequence.WeightsVersion(),
	}
	body, err := cbor.Marshal(point)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(body) + "." + strconv.Itoa(index)
}

// resumeAt makes the run go on behind the event that the caller saw last. The
// attempt is read further if it is still held, and else the answer is resumed
// elsewhere on the same weights version.
func (r *run) resumeAt(lastEventID string) *problem {
	if lastEventID == "" {
		return nil
	}
	point, index, ok := parseEventID(lastEventID)
	if !ok || point.Service != r.request.service.document.Service {
		return notRun(fasthttp.StatusBadRequest, codeBadRequest, "the last event id does not belong to this service")
	}
	r.first = index + 1
	r.sequence = sequencer.Resume(r.first, point.WeightsVersion)
	r.request.infer.WeightsVersion = point.WeightsVersion
	r.chain = r.scopedChain()
	r.index = r.request.service.pool.Find(point.BackendServer)
	if r.index < 0 {
		return nil
	}
	r.attempt = point.Attempt
	if err := r.attach(r.request.service.pool.Replica(r.index).Address, point.SidecarIncarnation); err != nil {
		r.entry.logger.Info("entry: attempt is no longer held.", "request", r.requestID, "attempt", point.Attempt, "err", err)
		return nil
	}
	r.entry.metrics.reattached.Add(1)
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
