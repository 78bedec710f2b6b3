package announcer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"github.com/zeebo/xxh3"
)

const (
	// streamCopies is how many sidecars record a stream, so that the record outlives the loss of
	// one in the same moment as its entry.
	streamCopies = 2
	// Entries ask more sidecars than record a stream, since those that recorded it are selected
	// among the sidecars that were connected to another entry at another time.
	streamQueries, otherRegionStreamQueries = 4, 2
	// queryTimeout bounds the wait for the answers of the own region, otherRegionQueryTimeout that
	// for others: some round trips each.
	queryTimeout            = 100 * time.Millisecond
	otherRegionQueryTimeout = 200 * time.Millisecond
	// maxQueuedRecords bounds the records that wait to be sent in a session.
	maxQueuedRecords = 1024
)

// originQuery is a query with a number that its answer carries.
type originQuery struct {
	ID uint64 `cbor:"10,keyasint"`
	pinner.Query
}

// originReply answers an originQuery.
type originReply struct {
	ID uint64 `cbor:"10,keyasint"`
	pinner.Origin
}

// recordQueue holds the stream records that wait to be sent in a session.
type recordQueue struct {
	mu      sync.Mutex
	records []pinner.Record
}

// add adds a record. The oldest ones are dropped if there are too many.
func (q *recordQueue) add(record pinner.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) >= maxQueuedRecords {
		q.records = slices.Delete(q.records, 0, maxQueuedRecords/2)
	}
	q.records = append(q.records, record)
}

// take removes and returns all records.
func (q *recordQueue) take() []pinner.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	records := q.records
	q.records = nil
	return records
}

// streamHomes returns the sessions with the sidecars that record a stream, the preferred ones
// first: at most own of this daemon's region, and at most other of other regions. Sidecars are
// ranked by rendezvous hashing, so that all entries select the same ones.
func (a *Announcer) streamHomes(key uint64, own, other int) []*session {
	type candidate struct {
		session *session
		score   uint64
	}
	var regions [2][]candidate
	a.mu.Lock()
	for address, s := range a.byReplica {
		if !s.knowsStreams.Load() {
			continue
		}
		region := 0
		if s.otherRegion.Load() {
			region = 1
		}
		regions[region] = append(regions[region], candidate{s, xxh3.HashStringSeed(address, key)})
	}
	a.mu.Unlock()
	var homes []*session
	for i, limit := range [2]int{own, other} {
		slices.SortFunc(regions[i], func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		for _, c := range regions[i][:min(limit, len(regions[i]))] {
			homes = append(homes, c.session)
		}
	}
	return homes
}

// RecordStream has sidecars record which software version began a stream. It does not wait.
func (a *Announcer) RecordStream(record pinner.Record) {
	homes := a.streamHomes(record.Key, streamCopies, streamCopies)
	for _, s := range homes[:min(streamCopies, len(homes))] {
		s.streamRecords.add(record)
		s.wakeUp()
	}
}

// FindStream asks sidecars which software version began a stream. It returns at the first answer
// with a record, or when all have answered or the time for it is over.
func (a *Announcer) FindStream(ctx context.Context, query pinner.Query) pinner.Origin {
	homes := a.streamHomes(query.Key, streamQueries, otherRegionStreamQueries)
	timeout := queryTimeout
	for _, s := range homes {
		if s.otherRegion.Load() {
			timeout = otherRegionQueryTimeout
		}
	}
	replies := make(chan pinner.Origin, len(homes))
	id := a.lastQuery.Add(1)
	a.queries.Store(id, replies)
	defer a.queries.Delete(id)
	for _, s := range homes {
		a.tasks.Go(func() { _ = s.send(message{OriginQuery: &originQuery{id, query}}) })
	}
	var origin pinner.Origin
	expired := a.deps.Clock.After(timeout)
	for range homes {
		select {
		case reply := <-replies:
			origin.Merge(reply)
			if origin.Recorded {
				return origin
			}
		case <-expired:
			return origin
		case <-ctx.Done():
			return origin
		}
	}
	return origin
}

// answerOriginQuery answers a query of the other end from the records and the list of replicas.
func (s *session) answerOriginQuery(query *originQuery) error {
	deps := &s.announcer.deps
	origin := deps.Origin(query.Query)
	if version, found := deps.Streams.Find(query.Key); found {
		origin.Version, origin.Recorded = version, true
	}
	return s.send(message{OriginReply: &originReply{query.ID, origin}})
}

// receiveOriginReply passes an answer to the goroutine that waits for it, if it still does.
func (a *Announcer) receiveOriginReply(reply *originReply) {
	if waiting, found := a.queries.Load(reply.ID); found {
		select {
		case waiting.(chan pinner.Origin) <- reply.Origin:
		default:
		}
	}
}

// sendStreamRecords sends the records that wait, if there are any.
func (s *session) sendStreamRecords() error {
	records := s.streamRecords.take()
	if len(records) == 0 {
		return nil
	}
	return s.send(message{StreamRecords: records})
}
