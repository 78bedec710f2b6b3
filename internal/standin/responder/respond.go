// Package responder holds what the HTTP sides of the stand-ins share.
package responder

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// ReadJSON decodes the request's body, or answers that it is bad.
func ReadJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// DropConnection closes the connection without an answer.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) { _ = connection.Close() })
}
