package entry

import (
	"testing"
	"unicode/utf8"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// newTestCaller returns an entry and a caller whose key gives access to one model service.
func newTestCaller() (*Entry, *caller) {
	document := &decoder.Document{Service: "s", Kind: decoder.ModelPool, Model: &decoder.Model{Name: "m", MaxTokens: 100, Adapters: []string{"a"}}}
	document.Workspaces = []decoder.Workspace{{Name: "w", KeyHashes: []string{decoder.HashKey("key")}}}
	s := &service{
		revision: &spreader.ServiceRevision[*decoder.Document]{Value: document}, document: document,
		workspaceByKeyHash: map[string]*decoder.Workspace{decoder.HashKey("key"): &document.Workspaces[0]},
	}
	c := &catalog{byName: map[string]*service{"s": s}, byKeyHash: map[string][]*service{decoder.HashKey("key"): {s}}}
	return &Entry{clock: timekeeper.System{}}, &caller{catalog: c, keyHash: decoder.HashKey("key")}
}

// FuzzCompletion checks that any body is either refused with a problem or parsed into a
// request within the document's limits.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`), true)
	f.Add([]byte(`{"model":"m:a","prompt":"hello"}`), false)
	f.Add([]byte(`{"model":"m","prompt":"\ud800"}`), false)
	f.Add([]byte("{\"model\":\"m\",\"prompt\":\"\xff\"}"), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		e, c := newTestCaller()
		var ctx fasthttp.RequestCtx
		ctx.Request.SetBody(body)
		request, p := e.parseCompletion(&ctx, c, chat)
		if p != nil {
			assert.Assert(t, p.Status >= 400 && p.Status < 500)
			assert.Equal(t, string(p.Outcome), "notRun")
			return
		}
		assert.Assert(t, request.inference.MaxTokens >= 1 && request.inference.MaxTokens <= 100)
		assert.Assert(t, len(request.inference.Prompt) > 0 && utf8.Valid(request.inference.Prompt))
		assert.Equal(t, request.workspace.Name, "w")
	})
}

// TestMalformedBodyNamesField guards the error text that callers get for a field of the
// wrong type: it contains the names of Go types, so that a renamed type would change it.
func TestMalformedBodyNamesField(t *testing.T) {
	for body, want := range map[string]string{
		`{"model":1}`:                  "the body is not valid JSON: json: cannot unmarshal number into Go struct field completion.model of type string",
		`{"messages":[{"content":1}]}`: "the body is not valid JSON: json: cannot unmarshal number into Go struct field message.messages.content of type string",
	} {
		e, c := newTestCaller()
		var ctx fasthttp.RequestCtx
		ctx.Request.SetBodyString(body)
		_, p := e.parseCompletion(&ctx, c, true)
		assert.Equal(t, p.Detail, want)
	}
}

// FuzzEventID checks that an event ID sent by a caller never yields a negative index.
func FuzzEventID(f *testing.F) {
	f.Add("oWdzZXJ2aWNlYXM.3")
	f.Add(".0")
	f.Add("AAAA.-1")
	f.Fuzz(func(t *testing.T, id string) {
		if _, index, ok := parseEventID(id); ok {
			assert.Assert(t, index >= 0)
		}
	})
}
