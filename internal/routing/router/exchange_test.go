package router

import (
	"sync"
	"time"
)

// repeatInTurn calls a function for each of some daemons once in an interval, one after the other,
// until the returned function is called.
func repeatInTurn(daemons int, interval time.Duration, functions func(n int) func()) (stop func()) {
	stopped := make(chan struct{})
	var tasks sync.WaitGroup
	for n := range daemons {
		f := functions(n)
		tasks.Go(func() {
			pause := interval * time.Duration(n) / time.Duration(daemons)
			for {
				select {
				case <-stopped:
					return
				case <-time.After(pause):
				}
				f()
				pause = interval
			}
		})
	}
	return func() {
		close(stopped)
		tasks.Wait()
	}
}
