package router

// recentMap is a map that forgets entries which were not used for two generations. A
// new generation begins when the current one is full. It is not safe for concurrent
// use.
type recentMap[V any] struct {
	generationSize    int
	current, previous map[uint64]V
}

func newRecentMap[V any](generationSize int) *recentMap[V] {
	return &recentMap[V]{generationSize: generationSize, current: make(map[uint64]V)}
}

// get returns an entry and moves it to the current generation.
func (r *recentMap[V]) get(key uint64) (V, bool) {
	if value, found := r.current[key]; found {
		return value, true
	}
	value, found := r.previous[key]
	if found {
		r.put(key, value)
	}
	return value, found
}

func (r *recentMap[V]) put(key uint64, value V) {
	if _, found := r.current[key]; !found && len(r.current) >= r.generationSize {
		r.previous, r.current = r.current, make(map[uint64]V)
	}
	r.current[key] = value
}

func (r *recentMap[V]) remove(key uint64) {
	delete(r.current, key)
	delete(r.previous, key)
}
