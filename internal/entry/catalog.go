package entry

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/chooser"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/spreader"
)

// versionPeriod is how long a look at all replicas' weights versions holds.
const versionPeriod = 100 * time.Millisecond

// servedVersions is the result of a look at all replicas.
type servedVersions struct {
	versions []string
	at       time.Time
}

// service is one service of a catalog. It is never changed, but for served.
type service struct {
	revised  *spreader.Revised[*decoder.Document]
	document *decoder.Document
	pool     *chooser.Pool
	chooser  *chooser.Chooser
	// workspaces maps hashes of keys to workspaces.
	workspaces map[string]*decoder.Workspace
	// served is the last look at the replicas' weights versions, nil before.
	served atomic.Pointer[servedVersions]
}

// catalog is the configuration in the form in which requests use it. It is
// replaced whole when the book changes.
type catalog struct {
	digest uint64
	// byName holds every service.
	byName map[string]*service
	// byKey holds the services that a key opens.
	byKey map[string][]*service
}

// current returns the catalog of the newest configuration.
func (e *Entry) current() *catalog {
	snapshot := e.common.Book().Snapshot()
	if c := e.catalog.Load(); c.digest == snapshot.Digest() {
		return c
	}
	e.catalogMu.Lock()
	defer e.catalogMu.Unlock()
	snapshot = e.common.Book().Snapshot()
	old := e.catalog.Load()
	if old.digest == snapshot.Digest() {
		return old
	}
	next := e.build(snapshot, old)
	e.catalog.Store(next)
	return next
}

func (e *Entry) build(snapshot *spreader.Snapshot[*decoder.Document], old *catalog) *catalog {
	next := &catalog{digest: snapshot.Digest(), byName: map[string]*service{}, byKey: map[string][]*service{}}
	for _, name := range snapshot.Services() {
		revised := snapshot.Get(name)
		s := old.byName[name]
		if s == nil || s.revised != revised {
			s = e.buildService(revised, s)
			e.logger.Info("entry: configuration in force.", "service", name, "revision", revised.Revision)
		}
		next.byName[name] = s
		for hash := range s.workspaces {
			next.byKey[hash] = append(next.byKey[hash], s)
		}
	}
	return next
}

func (e *Entry) buildService(revised *spreader.Revised[*decoder.Document], old *service) *service {
	document := revised.Value
	s := &service{revised: revised, document: document, workspaces: map[string]*decoder.Workspace{}}
	for i := range document.Workspaces {
		for _, hash := range document.Workspaces[i].KeyHashes {
			s.workspaces[hash] = &document.Workspaces[i]
		}
	}
	replicas := make([]chooser.Replica, len(document.BackendServers))
	for i, server := range document.BackendServers {
		replicas[i] = chooser.Replica{Name: server.Name, Address: server.Sidecar, AvailabilityZone: server.AvailabilityZone, Region: server.Region}
	}
	var earlier *chooser.Pool
	if old != nil {
		earlier = old.pool
	}
	s.pool = chooser.NewPool(replicas, earlier)
	identity := e.common.Identity()
	costs := chooser.Settings{
		AvailabilityZone:       identity.AvailabilityZone,
		Region:                 identity.Region,
		PrefillTokensPerSecond: 1,
		ZoneDelay:              zoneDelay,
		RegionDelay:            regionDelay,
		LinkBytesPerSecond:     linkBytesPerSecond,
		LinkPenalty:            linkPenalty,
	}
	if document.Model != nil {
		costs.PrefillTokensPerSecond = float64(document.Model.PrefillTokensPerSecond)
		costs.PrefillWeight = document.Model.ReuseWeight
	}
	s.chooser = chooser.New(costs, e.memory)
	return s
}

// learn takes the news of a reply.
func (e *Entry) learn(s *service, index int, news *link.News) {
	if news == nil {
		return
	}
	s.pool.Status(index).SetReport(&chooser.Report{
		SidecarIncarnation: news.SidecarIncarnation,
		EngineIncarnation:  news.EngineIncarnation,
		WeightsVersion:     news.WeightsVersion,
		Leaving:            news.Leaving,
		BacklogTokens:      news.BacklogTokens,
		At:                 e.clock.Now(),
	})
}

// incarnationOf returns the last known incarnation of a sidecar, or "".
func (s *service) incarnationOf(index int) string {
	if report := s.pool.Status(index).Report(); report != nil {
		return report.SidecarIncarnation
	}
	return ""
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

// versions returns the weights versions that a new request may ask for, the best
// first. It looks at all replicas at most once per versionPeriod, not at every
// request.
func (s *service) versions(now time.Time) []string {
	if known := s.served.Load(); known != nil && now.Sub(known.at) < versionPeriod {
		return known.versions
	}
	versions := s.rankVersions()
	s.served.Store(&servedVersions{versions: versions, at: now})
	return versions
}

// rankVersions puts the version in the document first once at least half of the
// replicas that have reported serve it, and orders the others by how common they
// are.
func (s *service) rankVersions() []string {
	wanted := s.document.Model.WeightsVersion
	counts := map[string]int{wanted: 0}
	reported := 0
	for i := range s.pool.Len() {
		if report := s.pool.Status(i).Report(); report != nil && report.WeightsVersion != "" {
			counts[report.WeightsVersion]++
			reported++
		}
	}
	if 2*counts[wanted] >= reported {
		counts[wanted] += reported
	}
	versions := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(versions, func(a, b string) int { return counts[b] - counts[a] })
	return versions
}

// avoidAfterLoss is how long a replica is passed over after its sidecar was not
// reached.
const avoidAfterLoss = 2 * time.Second
