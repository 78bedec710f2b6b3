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
	// maxModelAttempts is the number of replicas that may run a model request without
	// progress: before its first token, or since the last token that was received.
	maxModelAttempts = 8
	// maxRejections is how many rejections of one request are followed by another attempt.
	maxRejections = 8
	// leavingPollInterval is how often the entry checks which hosts are leaving.
	leavingPollInterval = time.Second
)

// service is one revision of a service in a catalog, with its router routes. It is
// immutable.
type service struct {
	revision *spreader.ServiceRevision[*decoder.Document]
	document *decoder.Document
	// workspaceByKeyHash maps the hash of each API key to the workspace that it belongs to.
	workspaceByKeyHash map[string]*decoder.Workspace
	// weightsVersions numbers the model's weights versions. All revisions of the service
	// share it.
	weightsVersions *numberer.Numberer
	// modelRoute is for model requests, onceRoute for plain calls that may run at most
	// once, and repeatableRoute for plain calls that may be retried.
	modelRoute, onceRoute, repeatableRoute *router.Route
}

// catalog is the configuration, indexed for handling requests. A new catalog replaces
// it when a revision changes.
type catalog struct {
	// digest is that of the snapshot from which the catalog was built.
	digest uint64
	// byName maps service names to services.
	byName map[string]*service
	// byKeyHash maps the hash of an API key to the services that the key gives access to.
	byKeyHash map[string][]*service
	// bodyPriorities maps the hash of an API key to the priority, lower values first, with which
	// bodies wait for memory: that of the key's most urgent workspace, as the head of a model
	// request does not name the service.
	bodyPriorities map[string]int
	// routing is the part of the configuration that the router reads.
	routing *router.Catalog
}

// currentCatalog returns the catalog of the newest configuration. It builds the catalog
// first if the configuration has changed.
func (e *Entry) currentCatalog() *catalog {
	snapshot := e.common.RevisionTable().Snapshot()
	if c := e.catalog.Load(); c.digest == snapshot.Digest() {
		return c
	}
	e.catalogMu.Lock()
	defer e.catalogMu.Unlock()
	snapshot = e.common.RevisionTable().Snapshot()
	previous := e.catalog.Load()
	if previous.digest == snapshot.Digest() {
		return previous
	}
	next := e.buildCatalog(snapshot, previous)
	e.setReplicas(next, true)
	e.catalog.Store(next)
	return next
}

func (e *Entry) buildCatalog(snapshot *spreader.Snapshot[*decoder.Document], previous *catalog) *catalog {
	next := newCatalog(snapshot.Digest())
	var services []*router.Service
	for _, name := range snapshot.Services() {
		revision := snapshot.Get(name)
		s := previous.byName[name]
		if s == nil || s.revision != revision {
			s = newService(revision, s)
			e.logger.Info("entry: service configuration updated.", "service", name, "revision", revision.Revision)
		}
		next.add(name, s)
		services = append(services, &router.Service{Name: name, Engine: s.routerEngine()})
	}
	next.routing = router.NewCatalog(next.digest, router.Limits{MaxBodyBytes: maxRequestBody}, nil, services, nil)
	return next
}

// newCatalog returns a catalog without services.
func newCatalog(digest uint64) *catalog {
	return &catalog{digest: digest, byName: map[string]*service{}, byKeyHash: map[string][]*service{}, bodyPriorities: map[string]int{}}
}

// add adds a service.
func (c *catalog) add(name string, s *service) {
	c.byName[name] = s
	for hash, workspace := range s.workspaceByKeyHash {
		c.byKeyHash[hash] = append(c.byKeyHash[hash], s)
		// In documents higher priorities go first.
		if priority, found := c.bodyPriorities[hash]; !found || -workspace.Priority < priority {
			c.bodyPriorities[hash] = -workspace.Priority
		}
	}
}

// newService builds a revision of a service. previous is the revision that it replaces, or
// nil.
func newService(revision *spreader.ServiceRevision[*decoder.Document], previous *service) *service {
	document := revision.Value
	s := &service{revision: revision, document: document, workspaceByKeyHash: map[string]*decoder.Workspace{}, weightsVersions: numberer.New()}
	if previous != nil {
		s.weightsVersions = previous.weightsVersions
	}
	for i := range document.Workspaces {
		for _, hash := range document.Workspaces[i].KeyHashes {
			s.workspaceByKeyHash[hash] = &document.Workspaces[i]
		}
	}
	shares := []router.Share{{Service: document.Service, Weight: 1}}
	serverCount := len(document.BackendServers)
	s.repeatableRoute = &router.Route{Name: document.Service, Kind: router.Repeatable, MaxAttempts: max(1, serverCount), MaxRejections: maxRejections, Shares: shares}
	s.onceRoute = &router.Route{Name: document.Service, Kind: router.AtMostOnce, MaxAttempts: 1, MaxRejections: maxRejections, Shares: shares}
	if document.Model != nil {
		s.weightsVersions.SetWanted(document.Model.WeightsVersion)
		s.modelRoute = &router.Route{
			Name: document.Service, Kind: router.Streaming, MaxAttempts: maxModelAttempts, MaxRejections: maxRejections, Shares: shares,
			Resumable: true, SameWeights: true, RenewAttempts: true,
		}
	}
	return s
}

// routerEngine returns the router's settings for the service's model replicas, or nil if
// it is a plain service.
func (s *service) routerEngine() *router.Engine {
	if s.document.Model == nil {
		return nil
	}
	return &router.Engine{
		NoTransfers:            true,
		PrefillTokensPerSecond: float64(s.document.Model.PrefillTokensPerSecond),
		ReuseWeight:            s.document.Model.ReuseWeight,
	}
}

// replicaID returns the ID of a backend server in the router.
func replicaID(service, backendServer string) string { return service + "/" + backendServer }

// replicaDescriptors returns the router's descriptions of the backend servers of all
// services.
func (e *Entry) replicaDescriptors(c *catalog) []router.Descriptor {
	var descriptors []router.Descriptor
	for name, s := range c.byName {
		for _, server := range s.document.BackendServers {
			descriptors = append(descriptors, router.Descriptor{
				ID: replicaID(name, server.Name), Service: name, Address: server.Sidecar, Zone: server.AvailabilityZone, Region: server.Region,
				Slots: plainSlots, Draining: e.common.IsLeaving(server.Sidecar),
			})
		}
	}
	return descriptors
}

// pollLeavingLoop marks replicas on hosts that the platform lists as leaving, so that they
// get no new requests. Their sidecars refuse new requests anyway once they know that they
// are leaving, so this only avoids those refusals.
func (e *Entry) pollLeavingLoop(ctx context.Context) {
	for {
		select {
		case <-e.clock.After(leavingPollInterval):
		case <-ctx.Done():
			return
		}
		e.catalogMu.Lock()
		e.setReplicas(e.catalog.Load(), false)
		e.catalogMu.Unlock()
	}
}

// setReplicas gives the catalog's replicas to the router's pool if the catalog is new or
// the set of leaving hosts has changed. The caller holds catalogMu.
func (e *Entry) setReplicas(c *catalog, isNew bool) {
	descriptors := e.replicaDescriptors(c)
	var leaving []string
	for _, d := range descriptors {
		if d.Draining {
			leaving = append(leaving, d.ID)
		}
	}
	slices.Sort(leaving)
	if isNew || !slices.Equal(leaving, e.leavingReplicas) {
		e.leavingReplicas = leaving
		e.pool.SetReplicas(descriptors)
	}
}

// workspaceByName returns the workspace of that name in the service, or nil.
func (s *service) workspaceByName(name string) *decoder.Workspace {
	for i := range s.document.Workspaces {
		if s.document.Workspaces[i].Name == name {
			return &s.document.Workspaces[i]
		}
	}
	return nil
}

// recordStatus records the status that a sidecar reported: its incarnation, its backlog
// and the weights version that it serves.
func (e *Entry) recordStatus(s *service, address string, status *link.Status) {
	if status == nil {
		return
	}
	e.incarnations.Store(address, status.SidecarIncarnation)
	state := router.State{Queued: status.InFlight}
	// All requests of an entry have rank 0 in the router.
	state.BacklogTokens[0] = status.BacklogTokens
	if model := s.document.Model; model != nil {
		state.WeightsVersions = map[string]int{model.Name: s.weightsVersions.Number(status.WeightsVersion)}
		if status.WeightsVersion == "" {
			state.Phase = router.Loading
		}
	}
	if status.Leaving {
		// A leaving replica takes no requests either.
		state.Phase = router.Loading
	}
	e.pool.UpdateState(address, state)
	// The reported backlog includes this entry's own requests, so the tokens that the router
	// has counted for them are marked as reported.
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
