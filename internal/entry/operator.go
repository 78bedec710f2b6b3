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
	// storeTimeout bounds the store operations of an operator request. If an apply takes
	// longer, its result is unknown.
	storeTimeout = 3 * time.Second
	// statusTimeout bounds the wait for the state of one daemon.
	statusTimeout = time.Second
	// maxParallelStatusRequests bounds the number of daemons whose state is requested at
	// the same time.
	maxParallelStatusRequests = 64
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

// validate writes whether a document is valid, without storing it.
func validate(ctx *fasthttp.RequestCtx) {
	if _, err := decoder.Decode(ctx.PostBody()); err != nil {
		daemon.WriteJSON(ctx, fasthttp.StatusBadRequest, operator.Failure{Error: decoder.ErrInvalid.Message(), Faults: decoder.AsFaults(err)})
		return
	}
	daemon.WriteJSON(ctx, fasthttp.StatusOK, operator.ApplyResponse{Result: operator.Valid})
}

// apply stores a document as the next revision of its service and writes the result.
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
	expectedRevision, err := strconv.ParseUint(strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`), 10, 64)
	if err != nil {
		daemon.WriteJSON(ctx, fasthttp.StatusPreconditionRequired, operator.Failure{Error: "If-Match must name the current revision, 0 for a new service"})
		return
	}
	operation := string(ctx.Request.Header.Peek(operator.HeaderOperationID))
	if operation == "" {
		operation = uuid.NewString()
	}
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	revision, err := e.register.Apply(storeCtx, name, string(ctx.PostBody()), operation, expectedRevision)
	e.logger.Info("operator: apply finished.", "service", name, "operation", operation, "match", expectedRevision, "revision", revision, "err", err)
	reply := operator.ApplyResponse{OperationID: operation, Revision: revision}
	switch {
	case err == nil:
		e.offerCurrentDocument(storeCtx, name)
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

// offerCurrentDocument adds the current document of a service to this entry's revision
// table without waiting for the store watch. It reads the document back from the store,
// because a repeated operation may have been accepted earlier with another text.
func (e *Entry) offerCurrentDocument(ctx context.Context, name string) {
	record, err := e.register.Get(ctx, name)
	if err != nil {
		e.logger.Warn("operator: cannot read back the accepted document.", "service", name, "err", err)
		return
	}
	if _, err := e.common.RevisionTable().Offer(name, record.Revision, []byte(record.Text)); err != nil {
		e.logger.Error("operator: cannot add the accepted document to the revision table.", "service", name, "err", err)
	}
}

// getDocument writes the current document of a service, or the revision in the query.
func (e *Entry) getDocument(ctx *fasthttp.RequestCtx, name string) {
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, err := e.register.Get(storeCtx, name)
	if err != nil {
		writeStoreError(ctx, err)
		return
	}
	text, revision := record.Text, record.Revision
	if requestedRevision := ctx.QueryArgs().GetUintOrZero("revision"); requestedRevision > 0 {
		revision = uint64(requestedRevision)
		if text, err = e.register.Text(storeCtx, name, revision); err != nil {
			writeStoreError(ctx, err)
			return
		}
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(revision, 10)))
	ctx.SetContentType("application/yaml")
	ctx.SetBodyString(text)
}

// history writes the summaries of a service's current and earlier revisions, newest first.
func (e *Entry) history(ctx *fasthttp.RequestCtx, name string) {
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, err := e.register.Get(storeCtx, name)
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

// status collects the revisions that each known daemon uses.
func (e *Entry) status() operator.Status {
	identity := e.common.Identity()
	result := operator.Status{Daemons: []operator.Daemon{{
		Name: identity.Name, Address: identity.LinkAddress, Revisions: e.common.RevisionTable().Snapshot().Revisions(),
	}}}
	addresses := e.otherDaemons()
	statuses := make([]operator.Daemon, len(addresses))
	semaphore := make(chan struct{}, maxParallelStatusRequests)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-semaphore }()
			statuses[i] = e.daemonStatus(address)
		}()
	}
	group.Wait()
	result.Daemons = append(result.Daemons, statuses...)
	return result
}

// otherDaemons returns the link addresses of all other known daemons, sorted.
func (e *Entry) otherDaemons() []string {
	addresses := e.common.Peers()
	for _, s := range e.currentCatalog().byName {
		for _, server := range s.document.BackendServers {
			addresses = append(addresses, server.Sidecar)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (e *Entry) daemonStatus(address string) operator.Daemon {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	frame, err := e.common.Client().RoundTrip(ctx, address, &link.Request{Kind: link.Sync, Sync: &link.SyncState{Daemon: e.common.Identity().Name}})
	if err != nil || frame.Sync == nil {
		return operator.Daemon{Address: address, Error: "not reached"}
	}
	return operator.Daemon{Name: frame.Sync.Daemon, Address: address, Revisions: frame.Sync.Revisions}
}
