package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/weights/numberer"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/spreader"
)

const (
	// modelAttempts is the number of replicas that may run a model request before it
	// has an answer, or since its answer last grew.
	modelAttempts = 8
	// maxRejections is the number of replicas that may reject a request.
	maxRejections = 8
	// leavingPeriod is how often the entry looks for hosts that are leaving.
	leavingPeriod = time.Second
)

// service is one service of a catalog. It is never changed.
type service struct {
	revised  *spreader.ServiceRevision[*decoder.Document]
	document *decoder.Document
	// workspaces maps hashes of keys to workspaces.
	workspaces map[string]*decoder.Workspace
	// versions numbers the model's weights versions, over all revisions.
	versions *numberer.Numberer
	// answers is the route of model requests, once that of calls that may run once, and
	// repeatable that of calls which may run again.
	answers, once, repeatable *router.Route
}

// catalog is the configuration in the form in which requests use it. It is
// replaced whole when the book changes.
type catalog struct {
	digest uint64
	// byName holds every service.
	byName map[string]*service
	// byKey holds the services that a key opens.
	byKey map[string][]*service
	// routing is what the router needs of it.
	routing *router.Catalog
}

// current returns the catalog of the newest configuration.
func (e *Entry) current() *catalog {
	snapshot := e.common.RevisionTable().Snapshot()
	if c := e.catalog.Load(); c.digest == snapshot.Digest() {
		return c
	}
	e.catalogMu.Lock()
	defer e.catalogMu.Unlock()
	snapshot = e.common.RevisionTable().Snapshot()
	old := e.catalog.Load()
	if old.digest == snapshot.Digest() {
		return old
	}
	next := e.build(snapshot, old)
	e.setReplicas(next, true)
	e.catalog.Store(next)
	return next
}

func (e *Entry) build(snapshot *spreader.Snapshot[*decoder.Document], old *catalog) *catalog {
	next := &catalog{digest: snapshot.Digest(), byName: map[string]*service{}, byKey: map[string][]*service{}}
	var known []*router.Service
	for _, name := range snapshot.Services() {
		revised := snapshot.Get(name)
		s := old.byName[name]
		if s == nil || s.revised != revised {
			s = newService(revised, s)
			e.logger.Info("entry: configuration in force.", "service", name, "revision", revised.Revision)
		}
		next.byName[name] = s
		for hash := range s.workspaces {
			next.byKey[hash] = append(next.byKey[hash], s)
		}
		known = append(known, &router.Service{Name: name, Engine: s.engine()})
	}
	next.routing = router.NewCatalog(next.digest, router.Limits{MaxBodyBytes: maxRequestBody}, nil, known, nil)
	return next
}

// newService returns a revision of a service. old is the one before, or nil.
func newService(revised *spreader.ServiceRevision[*decoder.Document], old *service) *service {
	document := revised.Value
	s := &service{revised: revised, document: document, workspaces: map[string]*decoder.Workspace{}, versions: numberer.New()}
	if old != nil {
		s.versions = old.versions
	}
	for i := range document.Workspaces {
		for _, hash := range document.Workspaces[i].KeyHashes {
			s.workspaces[hash] = &document.Workspaces[i]
		}
	}
	shares := []router.Share{{Service: document.Service, Weight: 1}}
	calls := len(document.BackendServers)
	s.repeatable = &router.Route{Name: document.Service, Kind: router.Repeatable, MaxAttempts: max(1, calls), MaxRejections: maxRejections, Shares: shares}
	s.once = &router.Route{Name: document.Service, Kind: router.AtMostOnce, MaxAttempts: 1, MaxRejections: maxRejections, Shares: shares}
	if document.Model != nil {
		s.versions.SetWanted(document.Model.WeightsVersion)
		s.answers = &router.Route{
			Name: document.Service, Kind: router.Streaming, MaxAttempts: modelAttempts, MaxRejections: maxRejections, Shares: shares,
			Resumable: true, SameWeights: true, RenewAttempts: true,
		}
	}
	return s
}

// engine describes the service's model replicas, nil if it has none.
func (s *service) engine() *router.Engine {
	if s.document.Model == nil {
		return nil
	}
	return &router.Engine{
		NoTransfers:            true,
		PrefillTokensPerSecond: float64(s.document.Model.PrefillTokensPerSecond),
		ReuseWeight:            s.document.Model.ReuseWeight,
	}
}

// replicaID is the id by which the router knows a backend server.
func replicaID(service, backendServer string) string { return service + "/" + backendServer }

// replicas lists the backend servers of all services.
func (e *Entry) replicas(c *catalog) []router.Descriptor {
	var list []router.Descriptor
	for name, s := range c.byName {
		for _, server := range s.document.BackendServers {
			list = append(list, router.Descriptor{
				ID: replicaID(name, server.Name), Service: name, Address: server.Sidecar, Zone: server.AvailabilityZone, Region: server.Region,
				Slots: plainSlots, Draining: e.common.IsLeaving(server.Sidecar),
			})
		}
	}
	return list
}

// leavingLoop passes over replicas on hosts that the platform says are leaving.
// Their own sidecars refuse new work as soon as they know, so this only saves the
// refusals.
func (e *Entry) leavingLoop(ctx context.Context) {
	for {
		select {
		case <-e.clock.After(leavingPeriod):
		case <-ctx.Done():
			return
		}
		e.catalogMu.Lock()
		e.setReplicas(e.catalog.Load(), false)
		e.catalogMu.Unlock()
	}
}

// setReplicas passes the replicas of a catalog on to the router, if the catalog is new or
// other hosts are leaving than before. The caller holds catalogMu.
func (e *Entry) setReplicas(c *catalog, isNew bool) {
	list := e.replicas(c)
	var leaving []string
	for _, d := range list {
		if d.Draining {
			leaving = append(leaving, d.ID)
		}
	}
	slices.Sort(leaving)
	if isNew || !slices.Equal(leaving, e.leaving) {
		e.leaving = leaving
		e.pool.SetReplicas(list)
	}
}

// workspaceNamed returns a workspace of the service, or nil.
func (s *service) workspaceNamed(name string) *decoder.Workspace {
	for i := range s.document.Workspaces {
		if s.document.Workspaces[i].Name == name {
			return &s.document.Workspaces[i]
		}
	}
	return nil
}

// observe takes a sidecar's status.
func (e *Entry) observe(s *service, address string, status *link.Status) {
	if status == nil {
		return
	}
	e.incarnations.Store(address, status.SidecarIncarnation)
	state := router.State{Queued: status.InFlight}
	state.BacklogTokens[0] = status.BacklogTokens
	if model := s.document.Model; model != nil {
		state.WeightsVersions = map[string]int{model.Name: s.versions.Number(status.WeightsVersion)}
		if status.WeightsVersion == "" {
			state.Phase = router.Loading
		}
	}
	if status.Leaving {
		state.Phase = router.Loading
	}
	e.pool.UpdateState(address, state)
	// The sidecar's backlog holds this entry's own requests.
	e.pool.BacklogToReport(address)
}

// incarnationOf returns the last known incarnation of the sidecar at an address, or "".
func (e *Entry) incarnationOf(address string) string {
	incarnation, found := e.incarnations.Load(address)
	if !found {
		return ""
	}
	return incarnation.(string)
}
