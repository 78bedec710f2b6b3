package keyvalue

import (
	"context"
	"errors"

	"github.com/cyclamenward/cyclamenward/internal/standin/responder"
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
			responder.WriteJSON(ctx, state.Counts())
			return
		}
		var query store.Query
		if !responder.ReadJSON(ctx, &query) {
			return
		}
		reply, err := answer(functions, string(ctx.Path()), query)
		if errors.Is(err, keeper.ErrUnknownOutcome) {
			// The reply is lost: close the connection without one.
			responder.DropConnection(ctx)
			return
		}
		if err != nil {
			ctx.SetStatusCode(status(err))
			return
		}
		responder.WriteJSON(ctx, reply)
	}
}

func setFaults(ctx *fasthttp.RequestCtx, state *State) {
	var faults Faults
	if responder.ReadJSON(ctx, &faults) {
		state.SetFaults(faults)
	}
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
