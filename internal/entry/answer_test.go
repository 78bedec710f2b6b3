package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestAnswersOfServicesTakeMemoryUntilWritten guards against entries whose memory is given to bodies
// while large answers still wait for callers that read slowly.
func TestAnswersOfServicesTakeMemoryUntilWritten(t *testing.T) {
	const limit = 4 << 20
	memory := reserver.NewBudget(limit, limit, timekeeper.System{})
	bodies := reserver.New(memory, timekeeper.System{})
	ctx := &fasthttp.RequestCtx{}
	body := strings.Repeat("x", 3<<20)
	writePlainAnswer(ctx, &link.PlainAnswer{Status: 200, Body: []byte(body)}, memory)
	assert.Equal(t, memory.Reserved(), len(body))
	header := &fasthttp.RequestHeader{}
	header.SetContentLength(-1)
	assert.Equal(t, bodies.Admit(header, limit/3, 0), 64<<10, "there is room for a small body only")
	bodies.Refuse(header, limit)

	var written bytes.Buffer
	_, err := ctx.Response.WriteTo(&written)
	assert.NilError(t, err)
	assert.Check(t, strings.HasSuffix(written.String(), "\r\n\r\n"+body))
	assert.Check(t, strings.Contains(written.String(), "Content-Length: 3145728\r\n"))
	assert.Equal(t, memory.Reserved(), 0)
	assert.Equal(t, bodies.Admit(header, limit/3, 0), limit/3)
}
