package announcer

import "sync"

// maxChanges bounds the changes that are kept for sessions; one that is behind by
// more is sent everything.
const maxChanges = 4096

// CacheChanges is what changed in a replica's cache. Keys name prompt parts.
type CacheChanges struct {
	Added   []uint64 `cbor:"1,keyasint,omitempty"`
	Dropped []uint64 `cbor:"2,keyasint,omitempty"`
	// Complete is set if Added is all that the cache holds.
	Complete bool `cbor:"3,keyasint,omitempty"`
}

// CacheLog keeps what a replica's cache holds and the latest changes. It is safe
// for concurrent use.
type CacheLog struct {
	// changed wakes those who pass the changes on.
	changed *Broadcaster

	// mu guards the fields below.
	mu   sync.Mutex
	held map[uint64]bool
	// changes holds the latest changes; first is the number of its first one,
	// beginning with 1.
	changes []change
	first   uint64
}

type change struct {
	key   uint64
	added bool
}

// NewCacheLog returns the log of an empty cache.
func NewCacheLog() *CacheLog {
	return &CacheLog{changed: NewBroadcaster(), held: make(map[uint64]bool), first: 1}
}

// Record notes that the cache holds a part, or no longer.
func (l *CacheLog) Record(key uint64, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[key] == added {
		return
	}
	if added {
		l.held[key] = true
	} else {
		delete(l.held, key)
	}
	l.changes = append(l.changes, change{key: key, added: added})
	if len(l.changes) > 2*maxChanges {
		l.first += maxChanges
		l.changes = append(l.changes[:0], l.changes[maxChanges:]...)
	}
}

// Publish has the changes passed on.
func (l *CacheLog) Publish() { l.changed.Send() }

// Clear notes that the cache is empty.
func (l *CacheLog) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(map[uint64]bool)
	l.first += uint64(len(l.changes)) + 1
	l.changes = l.changes[:0]
}

// since returns what changed behind a cursor, nil for nothing, and the cursor to go
// on from. A cursor of 0 gets everything.
func (l *CacheLog) since(cursor uint64) (*CacheChanges, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.first + uint64(len(l.changes))
	if cursor == next {
		return nil, next
	}
	news := &CacheChanges{}
	if cursor < l.first {
		news.Complete = true
		for key := range l.held {
			news.Added = append(news.Added, key)
		}
		return news, next
	}
	for _, c := range l.changes[cursor-l.first:] {
		if c.added {
			news.Added = append(news.Added, c.key)
		} else {
			news.Dropped = append(news.Dropped, c.key)
		}
	}
	return news, next
}
