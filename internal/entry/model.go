package entry

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/valyala/fasthttp"
)

// completion is the body of a request to /v1/chat/completions or /v1/completions. Its name
// and that of message are part of the error texts that callers get for a malformed body.
type completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// modelRequest is a model request that has been validated.
type modelRequest struct {
	service   *service
	workspace *decoder.Workspace
	inference link.Inference
	chat      bool
	stream    bool
	timeout   time.Duration
}

// defaultMaxTokens bounds the answer to a request that does not set max_tokens.
const defaultMaxTokens = 256

// serveCompletion answers a model request; chat tells a chat completion from a text
// completion.
func (e *Entry) serveCompletion(ctx *fasthttp.RequestCtx, c *caller, chat bool) *problem {
	request, p := e.parseCompletion(ctx, c, chat)
	if p != nil {
		return p
	}
	release, p := e.acquireInFlight(request.service, request.workspace)
	if p != nil {
		return p
	}
	answer, p := e.newModelAnswer(ctx, c, request)
	if p != nil {
		release()
		return p
	}
	result := e.router.Begin(answer.request)
	if p := problemFromResult(result); p != nil {
		release()
		return p
	}
	answer.events = result.Stream
	if request.stream {
		c.streaming = true
		e.writeStreamedAnswer(ctx, answer, func() {
			release()
			c.release()
		})
		return nil
	}
	defer release()
	return e.writeWholeAnswer(ctx, answer)
}

// parseCompletion validates the body and the header fields of a model request.
func (e *Entry) parseCompletion(ctx *fasthttp.RequestCtx, c *caller, chat bool) (*modelRequest, *problem) {
	var body completion
	if !utf8.Valid(ctx.PostBody()) {
		return nil, notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return nil, notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, "the body is not valid JSON: "+err.Error())
	}
	prompt, p := body.promptText(chat)
	if p != nil {
		return nil, p
	}
	s, adapter := c.findModel(body.Model)
	if s == nil {
		return nil, notRunProblem(fasthttp.StatusNotFound, codeNotFound, fmt.Sprintf("no model %q for this key", body.Model))
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = min(defaultMaxTokens, s.document.Model.MaxTokens)
	}
	if body.MaxTokens < 1 || body.MaxTokens > s.document.Model.MaxTokens {
		return nil, notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", s.document.Model.MaxTokens))
	}
	timeout, p := requestTimeout(ctx, s.document)
	if p != nil {
		return nil, p
	}
	return &modelRequest{
		service:   s,
		workspace: s.workspaceByKeyHash[c.keyHash],
		inference: link.Inference{Model: s.document.Model.Name, Adapter: adapter, Prompt: []byte(prompt), MaxTokens: body.MaxTokens},
		chat:      chat,
		stream:    body.Stream,
		timeout:   timeout,
	}, nil
}

// promptText returns the prompt as text. The messages of a chat are concatenated, so the
// prompt of an earlier turn is a prefix of the prompt of a later one.
func (c *completion) promptText(chat bool) (string, *problem) {
	if !chat {
		if c.Prompt == "" {
			return "", notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, "prompt is missing")
		}
		return c.Prompt, nil
	}
	if len(c.Messages) == 0 {
		return "", notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, "messages is empty")
	}
	var text strings.Builder
	for _, m := range c.Messages {
		_, _ = fmt.Fprintf(&text, "<%s>\n%s\n", m.Role, m.Content)
	}
	return text.String(), nil
}

// writeModels answers with the list of models and adapters that the caller's key may use.
func writeModels(ctx *fasthttp.RequestCtx, c *caller) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, s := range c.catalog.byKeyHash[c.keyHash] {
		if s.document.Model == nil {
			continue
		}
		list.Data = append(list.Data, model{ID: s.document.Model.Name, Object: "model", OwnedBy: s.document.Service})
		for _, adapter := range s.document.Model.Adapters {
			list.Data = append(list.Data, model{ID: s.document.Model.Name + ":" + adapter, Object: "model", OwnedBy: s.document.Service})
		}
	}
	body, _ := json.Marshal(list)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
