package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
)

const (
	// minStreamTime is the shortest time for which a stream counts as having run when its caller
	// takes it up. On routes with longer timeouts it is these: callers wait no longer.
	minStreamTime = 10 * time.Second
	// softwareMemory is how long a software version that no listed replica has any more is
	// remembered. Streams on routes with longer timeouts are continued by records only.
	softwareMemory = 10 * time.Minute
	// maxListGap is the longest time for which the list of replicas may not be known to be current
	// without being regarded as interrupted. It exceeds the interval at which a watch without
	// changes is answered and the time in which other daemons report the answer, and is too short for
	// a replica to come and go unnoticed: an entry lapses after three heartbeats.
	maxListGap = 3500 * time.Millisecond
)

// softwareLog holds which software versions the replicas of a service have had.
type softwareLog struct {
	// since is when the first replica was listed, or since when the list has not been
	// interrupted.
	since time.Time
	// endedAt holds when the last replica of each version left the list, zero for versions
	// that are listed.
	endedAt map[string]time.Time
}

// recordSoftware updates the logs from a list of replicas. The caller holds mu.
func (p *Pool) recordSoftware(list []Descriptor) {
	now := p.clock.Now()
	listed := make(map[string]map[string]bool)
	for _, d := range list {
		if listed[d.Service] == nil {
			listed[d.Service] = make(map[string]bool)
		}
		listed[d.Service][d.SoftwareVersion] = true
		if p.software[d.Service] == nil {
			p.software[d.Service] = &softwareLog{since: now, endedAt: make(map[string]time.Time)}
		}
		p.software[d.Service].endedAt[d.SoftwareVersion] = time.Time{}
	}
	for service, log := range p.software {
		for version, endedAt := range log.endedAt {
			switch {
			case listed[service][version]:
			case endedAt.IsZero():
				log.endedAt[version] = now
			case now.Sub(endedAt) >= softwareMemory:
				delete(log.endedAt, version)
			}
		}
	}
}

// RecordCurrent records that the list of replicas was current at a time. A daemon that was cut off,
// or stood still, may have missed replicas that have come and gone since the last time.
func (p *Pool) RecordCurrent(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The steady clock does not count the time in which the host is suspended.
	gap := max(at.Sub(p.currentAt), at.Round(0).Sub(p.currentAt.Round(0)))
	if gap > maxListGap {
		now := p.clock.Now()
		for _, log := range p.software {
			log.since = now
		}
	}
	if at.After(p.currentAt) {
		p.currentAt = at
	}
}

// Origin returns what this daemon knows from its list of replicas about the version that began
// the stream of a query.
func (p *Pool) Origin(query pinner.Query) pinner.Origin {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.software[query.Service]
	if log == nil {
		return pinner.Origin{}
	}
	now := p.clock.Now()
	origin := pinner.Origin{Observed: now.Sub(log.since) >= query.Within && query.Within <= softwareMemory && now.Sub(p.currentAt) <= maxListGap}
	for version, endedAt := range log.endedAt {
		if endedAt.IsZero() || now.Sub(endedAt) <= query.Within {
			origin.Serving = append(origin.Serving, version)
		}
	}
	slices.Sort(origin.Serving)
	return origin
}

// ofSoftware returns the replicas of the group with a software version, some of them at random
// if there are many.
func (g *group) ofSoftware(version string) *group {
	matching := new(group)
	for _, replica := range g.replicas {
		if replica.descriptor.Load().SoftwareVersion == version {
			matching.replicas = append(matching.replicas, replica)
		}
	}
	if len(matching.replicas) > fullScanLimit {
		rand.Shuffle(len(matching.replicas), func(i, j int) {
			matching.replicas[i], matching.replicas[j] = matching.replicas[j], matching.replicas[i]
		})
		matching.replicas = matching.replicas[:fullScanLimit]
	}
	return matching
}

// streamKey returns the key of the stream that the request begins or continues.
func (r *Request) streamKey() uint64 {
	id := r.ID
	if r.LastEventID >= 0 && r.Resumes != "" {
		id = r.Resumes
	}
	workspace := ""
	if r.Workspace != nil {
		workspace = r.Workspace.Name
	}
	return pinner.Key(workspace, id)
}

// pinTakenUpStream finds out at which software version a stream must go on that the caller takes
// up. It returns a failure if that is not known.
func (d *dispatch) pinTakenUpStream() *Failure {
	request, r := d.request, d.router
	if request.LastEventID < 0 || request.Route.Kind != Streaming {
		return nil
	}
	query := pinner.Query{Key: request.streamKey(), Service: d.service.name, Within: max(minStreamTime, request.Route.Timeout)}
	origin, source := r.findOrigin(d.ctx, query)
	version, known := origin.Decide()
	if update := r.options.UpdateList; known && version != "" && !origin.Recorded && update != nil {
		if !update(d.ctx) {
			r.recorder.Count("streams.unconfirmed")
			r.logger.Info("route: stream refused, the list of replicas is not known to be current.", "request", request.ID, "resumes", request.Resumes, "after", request.LastEventID, "serving", origin.Serving)
			return &Failure{Reason: ReasonUnknownStream, NotRun: true, RetryAfter: minRetryAfter}
		}
		origin.Merge(r.pool.Origin(query))
		version, known = origin.Decide()
	}
	if !known {
		r.recorder.Count("streams.unknown")
		r.logger.Info("route: stream refused, its software version is not known.", "request", request.ID, "resumes", request.Resumes, "after", request.LastEventID, "serving", origin.Serving)
		return &Failure{Reason: ReasonUnknownStream, NotRun: true, RetryAfter: minRetryAfter}
	}
	if version == "" {
		return nil
	}
	r.recorder.Count("streams.takenUp")
	r.logger.Info("route: caller takes up a stream.", "request", request.ID, "resumes", request.Resumes, "after", request.LastEventID, "software", version, "source", source)
	d.pinnedSoftware = &version
	return nil
}

// findOrigin returns what is known about the version that began a stream, and from where: this
// daemon's records, those of others, or the list of replicas. Others are asked even if a single
// version is listed: this daemon's list may be out of date.
func (r *Router) findOrigin(ctx context.Context, query pinner.Query) (pinner.Origin, string) {
	if version, found := r.streams.Find(query.Key); found {
		return pinner.Origin{Version: version, Recorded: true}, "own"
	}
	origin := r.pool.Origin(query)
	if ask := r.options.FindStream; ask != nil {
		origin.Merge(ask(ctx, query))
	}
	if origin.Recorded {
		return origin, "peer"
	}
	return origin, "list"
}

// recordStream records the software version of the current attempt as that of the stream, whose
// first event is about to be passed on, or which goes on.
func (d *dispatch) recordStream() {
	version := d.sentSoftware
	if !d.request.Route.repeatable() || version == "" {
		return
	}
	d.pinnedSoftware = &version
	record := pinner.Record{Key: d.request.streamKey(), Version: version}
	d.streamRecordedAt = d.router.clock.Now()
	d.router.streams.Add(record)
	if spread := d.router.options.RecordStream; spread != nil {
		spread(record)
	}
}

// refreshStreamRecord records a stream again that has gone on for some time.
func (d *dispatch) refreshStreamRecord() {
	if !d.streamRecordedAt.IsZero() && d.router.clock.Now().Sub(d.streamRecordedAt) >= pinner.RefreshInterval {
		d.recordStream()
	}
}
