package keyvalue

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/peer/store"
	"github.com/valyala/fasthttp"
)

// Paths for tests, beside those of package store.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
)

// Handler serves the state over HTTP.
func Handler(state *State) fasthttp.RequestHandler {
	functions := state.Store()
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
		switch string(ctx.Path()) {
		case PathFaults:
			setFaults(ctx, state)
			return
		case PathCounts:
			writeJSON(ctx, state.Counts())
			return
		}
		var query store.Query
		if err := json.Unmarshal(ctx.PostBody(), &query); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		reply, err := answer(functions, string(ctx.Path()), query)
		if errors.Is(err, keeper.ErrUnknown) {
			// The reply is lost: close the connection without one.
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(closeAtOnce)
			return
		}
		if err != nil {
			ctx.SetStatusCode(status(err))
			return
		}
		writeJSON(ctx, reply)
	}
}

func setFaults(ctx *fasthttp.RequestCtx, state *State) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	state.SetFaults(faults)
}

func answer(functions keeper.Store, path string, query store.Query) (*store.Reply, error) {
	ctx := context.Background()
	reply := &store.Reply{}
	var err error
	switch path {
	case store.PathGet:
		var entry keeper.Entry
		entry, err = functions.Get(ctx, query.Key)
		reply.Entries = []keeper.Entry{entry}
	case store.PathList:
		reply.Entries, err = functions.List(ctx, query.Prefix)
	case store.PathSwap:
		value := query.Value
		if value == nil && !query.Delete {
			value = []byte{}
		}
		reply.Revision, err = functions.Swap(ctx, keeper.Swap{Key: query.Key, Value: value, Expected: query.Expected, Lease: query.Lease})
	case store.PathWatch:
		reply.Entries, reply.Revision, err = functions.Watch(ctx, query.Prefix, query.After, query.Wait)
	case store.PathGrant:
		reply.Lease, err = functions.Grant(ctx, query.TTL)
	case store.PathRenew:
		err = functions.Renew(ctx, query.Lease)
	default:
		err = keeper.ErrNotFound
	}
	return reply, err
}

func status(err error) int {
	switch {
	case errors.Is(err, keeper.ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, keeper.ErrConflict):
		return fasthttp.StatusConflict
	case errors.Is(err, keeper.ErrLeaseLost):
		return fasthttp.StatusGone
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
