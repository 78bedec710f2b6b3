package keyvalue

import (
	"context"
	"errors"

	"github.com/cyclamenward/cyclamenward/internal/standin/responder"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/peer/store"
	"github.com/valyala/fasthttp"
)

// Paths for tests, in addition to those of package store. PathFaults sets the faults,
// PathCounts returns the numbers of calls.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
)

// Handler serves the calls of package store and those for tests over HTTP.
func Handler(state *State) fasthttp.RequestHandler {
	storeFunctions := state.Store()
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
		reply, err := execute(storeFunctions, string(ctx.Path()), query)
		if errors.Is(err, keeper.ErrUnknownOutcome) {
			// The reply is lost: close the connection without one.
			responder.DropConnection(ctx)
			return
		}
		if err != nil {
			ctx.SetStatusCode(statusOf(err))
			return
		}
		responder.WriteJSON(ctx, reply)
	}
}

// setFaults replaces the faults in force by those in the request's body.
func setFaults(ctx *fasthttp.RequestCtx, state *State) {
	var faults Faults
	if responder.ReadJSON(ctx, &faults) {
		state.SetFaults(faults)
	}
}

// execute makes the call that the path and the query describe.
func execute(storeFunctions keeper.Store, path string, query store.Query) (*store.Reply, error) {
	ctx := context.Background()
	reply := &store.Reply{}
	var err error
	switch path {
	case store.PathGet:
		var entry keeper.Entry
		entry, err = storeFunctions.Get(ctx, query.Key)
		reply.Entries = []keeper.Entry{entry}
	case store.PathList:
		reply.Entries, err = storeFunctions.List(ctx, query.Prefix)
	case store.PathSwap:
		value := query.Value
		if value == nil && !query.Delete {
			value = []byte{}
		}
		reply.Revision, err = storeFunctions.Swap(ctx, keeper.Swap{Key: query.Key, Value: value, Expected: query.Expected, Lease: query.Lease})
	case store.PathWatch:
		reply.Entries, reply.Revision, err = storeFunctions.Watch(ctx, query.Prefix, query.After, query.Wait)
	case store.PathGrant:
		reply.Lease, err = storeFunctions.Grant(ctx, query.TTL)
	case store.PathRenew:
		err = storeFunctions.Renew(ctx, query.Lease)
	default:
		err = keeper.ErrNotFound
	}
	return reply, err
}

// statusOf returns the HTTP status for an error of the store.
func statusOf(err error) int {
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
