package router

// recent is a map that forgets entries which were not used for two generations. A new
// generation begins when the current one is full. It is not safe for concurrent use.
type recent[V any] struct {
	limit             int
	current, previous map[uint64]V
}

func newRecent[V any](limit int) *recent[V] {
	return &recent[V]{limit: limit, current: make(map[uint64]V)}
}

// get returns an entry and counts as its use.
func (r *recent[V]) get(key uint64) (V, bool) {
	if value, found := r.current[key]; found {
		return value, true
	}
	value, found := r.previous[key]
	if found {
		r.put(key, value)
	}
	return value, found
}

func (r *recent[V]) put(key uint64, value V) {
	if _, found := r.current[key]; !found && len(r.current) >= r.limit {
		r.previous, r.current = r.current, make(map[uint64]V)
	}
	r.current[key] = value
}

func (r *recent[V]) remove(key uint64) {
	delete(r.current, key)
	delete(r.previous, key)
}
