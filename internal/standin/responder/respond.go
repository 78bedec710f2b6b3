// Package responder holds the functions with which the stand-ins' HTTP handlers read
// requests and write responses.
package responder

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// ReadJSON decodes the request's body into value. If that fails, it sets the status 400
// and returns false.
func ReadJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON sets the response to the value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// DropConnection closes the connection without a response.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) { _ = connection.Close() })
}
