package announcer

import "sync"

// maxKeptChanges is how many of the latest changes are kept at least. A session that is
// further behind may be sent the complete contents of the cache instead.
const maxKeptChanges = 4096

// CacheChanges holds the changes of a replica's cache. The keys are those of cached
// prompt parts.
type CacheChanges struct {
	Added   []uint64 `cbor:"1,keyasint,omitempty"`
	Dropped []uint64 `cbor:"2,keyasint,omitempty"`
	// Complete is set if Added holds all keys in the cache, instead of changes.
	Complete bool `cbor:"3,keyasint,omitempty"`
}

// CacheLog keeps the keys in a replica's cache and the latest changes. It is safe
// for concurrent use.
type CacheLog struct {
	// updated wakes the sessions that send the changes to other daemons.
	updated *Broadcaster

	// mu guards the fields below.
	mu sync.Mutex
	// held holds the keys in the cache.
	held map[uint64]bool
	// changes holds the latest changes, which are numbered from 1; firstNumber is
	// the number of the first one in it.
	changes     []change
	firstNumber uint64
}

// change is the addition of a key to the cache, or its removal.
type change struct {
	key   uint64
	added bool
}

// NewCacheLog returns the log of an empty cache.
func NewCacheLog() *CacheLog {
	return &CacheLog{updated: NewBroadcaster(), held: make(map[uint64]bool), firstNumber: 1}
}

// Record records that the cache holds the prompt part with the key, or no longer holds
// it. The change is sent with the next message or after Publish.
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
	if len(l.changes) > 2*maxKeptChanges {
		l.firstNumber += maxKeptChanges
		l.changes = append(l.changes[:0], l.changes[maxKeptChanges:]...)
	}
}

// Publish has the recorded changes sent to other daemons at once.
func (l *CacheLog) Publish() { l.updated.Send() }

// Clear records that the cache is empty. Sessions are then sent the complete contents.
func (l *CacheLog) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(map[uint64]bool)
	l.firstNumber += uint64(len(l.changes)) + 1
	l.changes = l.changes[:0]
}

// since returns the changes from a cursor on, nil if there are none, and the cursor for
// the next call. If the cursor is 0 or too old, it returns the complete contents.
func (l *CacheLog) since(cursor uint64) (*CacheChanges, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.firstNumber + uint64(len(l.changes))
	if cursor == next {
		return nil, next
	}
	result := &CacheChanges{}
	if cursor < l.firstNumber {
		result.Complete = true
		for key := range l.held {
			result.Added = append(result.Added, key)
		}
		return result, next
	}
	for _, c := range l.changes[cursor-l.firstNumber:] {
		if c.added {
			result.Added = append(result.Added, c.key)
		} else {
			result.Dropped = append(result.Dropped, c.key)
		}
	}
	return result, next
}
