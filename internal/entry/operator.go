package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/peer/operator"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

const (
	// applyLimit bounds the time after which an application is unknown.
	applyLimit = 3 * time.Second
	// statusLimit bounds the wait for one daemon's state.
	statusLimit = time.Second
	// statusParallel is the number of daemons asked at once.
	statusParallel = 64
)

// HandleOperator answers requests on the operator address.
func (e *Entry) HandleOperator(ctx *fasthttp.RequestCtx) {
	if !e.isOperator(ctx) {
		daemon.WriteJSON(ctx, fasthttp.StatusUnauthorized, operator.Failure{Error: "the operators' token is needed"})
		return
	}
	path := string(ctx.Path())
	name, isService := strings.CutPrefix(path, operator.PathServices)
	name, isHistory := strings.CutSuffix(name, operator.SuffixHistory)
	switch {
	case path == operator.PathStatus && ctx.IsGet():
		daemon.WriteJSON(ctx, fasthttp.StatusOK, e.status())
	case path == operator.PathValidate && ctx.IsPost():
		validate(ctx)
	case isService && isHistory && ctx.IsGet():
		e.history(ctx, name)
	case isService && ctx.IsGet():
		e.getDocument(ctx, name)
	case isService && ctx.IsPut():
		e.apply(ctx, name)
	default:
		daemon.WriteJSON(ctx, fasthttp.StatusNotFound, operator.Failure{Error: "no such path"})
	}
}

func (e *Entry) isOperator(ctx *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok || e.settings.OperatorTokenHash == "" {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(decoder.HashKey(token)), []byte(e.settings.OperatorTokenHash)) == 1
}

func validate(ctx *fasthttp.RequestCtx) {
	if _, err := decoder.Decode(ctx.PostBody()); err != nil {
		daemon.WriteJSON(ctx, fasthttp.StatusBadRequest, operator.Failure{Error: decoder.ErrInvalid.Message(), Faults: decoder.AsFaults(err)})
		return
	}
	daemon.WriteJSON(ctx, fasthttp.StatusOK, operator.Applied{Result: operator.Valid})
}

// apply makes a document the next revision of its service.
func (e *Entry) apply(ctx *fasthttp.RequestCtx, name string) {
	document, err := decoder.Decode(ctx.PostBody())
	if err != nil {
		daemon.WriteJSON(ctx, fasthttp.StatusBadRequest, operator.Failure{Error: decoder.ErrInvalid.Message(), Faults: decoder.AsFaults(err)})
		return
	}
	if document.Service != name {
		daemon.WriteJSON(ctx, fasthttp.StatusBadRequest, operator.Failure{Error: "the document describes service " + document.Service})
		return
	}
	match, err := strconv.ParseUint(strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`), 10, 64)
	if err != nil {
		daemon.WriteJSON(ctx, fasthttp.StatusPreconditionRequired, operator.Failure{Error: "If-Match must name the current revision, 0 for a new service"})
		return
	}
	operation := string(ctx.Request.Header.Peek(operator.HeaderOperationID))
	if operation == "" {
		operation = uuid.NewString()
	}
	limit, cancel := context.WithTimeout(context.Background(), applyLimit)
	defer cancel()
	revision, err := e.register.Apply(limit, name, string(ctx.PostBody()), operation, match)
	e.logger.Info("operator: document applied.", "service", name, "operation", operation, "match", match, "revision", revision, "err", err)
	reply := operator.Applied{OperationID: operation, Revision: revision}
	switch {
	case err == nil:
		e.offer(limit, name)
		reply.Result = operator.Accepted
		daemon.WriteJSON(ctx, fasthttp.StatusOK, reply)
	case errors.Is(err, registrar.ErrConflict):
		reply.Result = operator.Conflict
		daemon.WriteJSON(ctx, fasthttp.StatusPreconditionFailed, reply)
	case errors.Is(err, registrar.ErrUnavailable):
		reply.Result = operator.NotWritten
		daemon.WriteJSON(ctx, fasthttp.StatusServiceUnavailable, reply)
	default:
		reply.Result = operator.Unknown
		daemon.WriteJSON(ctx, fasthttp.StatusGatewayTimeout, reply)
	}
}

// offer puts the current document in force here without waiting for the watch.
// It reads the register again, since an operation that is repeated may have been
// accepted earlier with another text.
func (e *Entry) offer(ctx context.Context, name string) {
	record, err := e.register.Get(ctx, name)
	if err != nil {
		e.logger.Warn("operator: accepted document not read back.", "service", name, "err", err)
		return
	}
	if _, err := e.common.RevisionTable().Offer(name, record.Revision, []byte(record.Text)); err != nil {
		e.logger.Error("operator: accepted document not taken.", "service", name, "err", err)
	}
}

func (e *Entry) getDocument(ctx *fasthttp.RequestCtx, name string) {
	limit, cancel := context.WithTimeout(context.Background(), applyLimit)
	defer cancel()
	record, err := e.register.Get(limit, name)
	if err != nil {
		writeStoreError(ctx, err)
		return
	}
	text, revision := record.Text, record.Revision
	if asked := ctx.QueryArgs().GetUintOrZero("revision"); asked > 0 {
		revision = uint64(asked)
		if text, err = e.register.Text(limit, name, revision); err != nil {
			writeStoreError(ctx, err)
			return
		}
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(revision, 10)))
	ctx.SetContentType("application/yaml")
	ctx.SetBodyString(text)
}

func (e *Entry) history(ctx *fasthttp.RequestCtx, name string) {
	limit, cancel := context.WithTimeout(context.Background(), applyLimit)
	defer cancel()
	record, err := e.register.Get(limit, name)
	if err != nil {
		writeStoreError(ctx, err)
		return
	}
	daemon.WriteJSON(ctx, fasthttp.StatusOK, append([]registrar.Summary{record.Summary}, record.Earlier...))
}

func writeStoreError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, keeper.ErrNotFound) {
		daemon.WriteJSON(ctx, fasthttp.StatusNotFound, operator.Failure{Error: "no such service or revision"})
		return
	}
	daemon.WriteJSON(ctx, fasthttp.StatusServiceUnavailable, operator.Failure{Error: "the store is not available: " + err.Error()})
}

// status asks every known daemon for the revisions it has in force.
func (e *Entry) status() operator.Status {
	identity := e.common.Identity()
	result := operator.Status{Daemons: []operator.Daemon{{
		Name: identity.Name, Address: identity.LinkAddress, Revisions: e.common.RevisionTable().Snapshot().Revisions(),
	}}}
	addresses := e.fleet()
	asked := make([]operator.Daemon, len(addresses))
	slots := make(chan struct{}, statusParallel)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			asked[i] = e.stateOf(address)
		}()
	}
	group.Wait()
	result.Daemons = append(result.Daemons, asked...)
	return result
}

// fleet returns the addresses of all other daemons, sorted.
func (e *Entry) fleet() []string {
	addresses := e.common.Peers()
	for _, s := range e.current().byName {
		for _, server := range s.document.BackendServers {
			addresses = append(addresses, server.Sidecar)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (e *Entry) stateOf(address string) operator.Daemon {
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	frame, err := e.common.Client().RoundTrip(ctx, address, &link.Request{Kind: link.Sync, Sync: &link.SyncState{Daemon: e.common.Identity().Name}})
	if err != nil || frame.Sync == nil {
		return operator.Daemon{Address: address, Error: "not reached"}
	}
	return operator.Daemon{Name: frame.Sync.Daemon, Address: address, Revisions: frame.Sync.Revisions}
}
