// Package replacer lets entries attend to replicas that have lost their sidecars: an entry
// then reports the replica's state and cache to the other daemons and gives it orders.
//
// The entries exchange no messages about it. Each waits for a time of its own, by the
// hash of its and the replica's name, and then tries to take the replica's ticket in the
// store. Whoever has it attends to the replica until the ticket is lost, the replica has
// left or its own sidecar is back. A replica that is not listed for a while may only have
// restarted.
package replacer

import (
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// checkInterval is the time between two looks at the replicas.
	checkInterval = 500 * time.Millisecond
	// lossTimeout is how long a sidecar must refuse connections before it counts as
	// lost. A process that was killed is started again sooner.
	lossTimeout = 4 * time.Second
	// maxSpread is the longest time that an entry leaves a lost sidecar to others after
	// that. The others learn of a ticket within a tenth of it.
	maxSpread = 5 * time.Second
	// absenceTimeout is how long a replica is attended to that is not listed. To give its
	// ticket back and take it again would leave the replica without orders for longer than
	// lossTimeout, the spread and a handover.
	absenceTimeout = 15 * time.Second
	// callTimeout bounds the attempt to take a ticket, connectTimeout that to connect to a sidecar.
	callTimeout, connectTimeout = 2 * time.Second, 200 * time.Millisecond
)

// AcceptsConnections reports whether a daemon listens at an address.
func AcceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Replica is a replica that needs a sidecar.
type Replica struct {
	// Address is the replica's IP address and port, Sidecar where its own sidecar listens.
	Address, Sidecar string
}

// Attendance is the work for one replica in place of its sidecar.
type Attendance struct {
	// Valid reports whether the ticket is still held.
	Valid func() bool
	// Close ends the work and gives the ticket back.
	Close func()
}

// Dependencies are the functions and services that a replacer uses.
type Dependencies struct {
	// Name is the daemon's name.
	Name string
	// RefusedSince returns since when connections to a sidecar are refused. The second
	// result is false if they are not.
	RefusedSince func(sidecar string) (time.Time, bool)
	// Held reports whether some daemon holds the ticket of the replica at an address.
	Held func(address string) bool
	// Attend takes the ticket of the replica at an address and begins to attend to it,
	// with a sidecar that listens on a port.
	Attend func(ctx context.Context, address string, port int) (Attendance, error)
	// Accepts reports whether a sidecar accepts connections.
	Accepts func(sidecar string) bool
	// Ports are those on which the daemon may listen, one for each replica that it
	// attends to.
	Ports  []int
	Clock  timekeeper.Clock
	Logger *log.Logger
}

// Replacer looks for lost sidecars until it is closed.
type Replacer struct {
	deps   Dependencies
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// mu guards replicas.
	mu       sync.Mutex
	replicas []Replica

	// The fields below are used by the replacer's goroutine only.

	// attendances holds the replicas that the daemon attends to, by address; freePorts
	// are the ports that it does not use for them.
	attendances map[string]attendance
	freePorts   []int
}

// attendance is one replica that the daemon attends to.
type attendance struct {
	Attendance
	port int
	// sidecar is where the replica's own sidecar listens.
	sidecar string
	// listedAt is when the replica was last seen in the list, absent whether it was not at the
	// last look.
	listedAt time.Time
	absent   bool
}

// New starts a replacer that knows of no replicas.
func New(deps Dependencies) *Replacer {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replacer{deps: deps, cancel: cancel, attendances: make(map[string]attendance), freePorts: slices.Clone(deps.Ports)}
	r.tasks.Go(func() {
		for ctx.Err() == nil {
			replicas := r.listed()
			r.endAttendances(replicas)
			r.attendToLost(ctx, replicas)
			select {
			case <-ctx.Done():
			case <-deps.Clock.After(checkInterval):
			}
		}
		for _, a := range r.attendances {
			a.Close()
		}
	})
	return r
}

// SetReplicas sets the replicas that need a sidecar.
func (r *Replacer) SetReplicas(replicas []Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas = replicas
}

// listed returns the replicas of the last SetReplicas.
func (r *Replacer) listed() []Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas
}

// endAttendances ends the work for replicas that do not need it or whose ticket is lost.
func (r *Replacer) endAttendances(replicas []Replica) {
	now := r.deps.Clock.Now()
	for address, a := range maps.Clone(r.attendances) {
		a.absent = !slices.ContainsFunc(replicas, func(replica Replica) bool { return replica.Address == address })
		if !a.absent {
			a.listedAt = now
		}
		r.attendances[address] = a
		if !a.Valid() || now.Sub(a.listedAt) >= absenceTimeout || r.deps.Accepts(a.sidecar) {
			r.end(address)
		}
	}
}

// end ends the work for one replica.
func (r *Replacer) end(address string) {
	a := r.attendances[address]
	r.deps.Logger.Info("fleet: no longer in place of a sidecar.", "replica", address, "ticketValid", a.Valid(), "absentFor", r.deps.Clock.Now().Sub(a.listedAt))
	a.Close()
	delete(r.attendances, address)
	r.freePorts = append(r.freePorts, a.port)
}

// freePort returns a port for another replica. If there is none, the replica that has been absent
// for longest is given up. The second result is false if all are listed.
func (r *Replacer) freePort() (int, bool) {
	if len(r.freePorts) == 0 {
		longest := ""
		for address, a := range r.attendances {
			if a.absent && (longest == "" || a.listedAt.Before(r.attendances[longest].listedAt)) {
				longest = address
			}
		}
		if longest == "" {
			return 0, false
		}
		r.end(longest)
	}
	return r.freePorts[0], true
}

// attendToLost attends to replicas whose sidecars count as lost.
func (r *Replacer) attendToLost(ctx context.Context, replicas []Replica) {
	now := r.deps.Clock.Now()
	for _, replica := range replicas {
		address := replica.Address
		since, refused := r.deps.RefusedSince(replica.Sidecar)
		if _, attending := r.attendances[address]; attending || !refused || ctx.Err() != nil {
			continue
		}
		if now.Sub(since) < lossTimeout+r.spread(address) || r.deps.Held(address) {
			continue
		}
		port, found := r.freePort()
		if !found {
			return
		}
		attendCtx, cancel := context.WithTimeout(ctx, callTimeout)
		work, err := r.deps.Attend(attendCtx, address, port)
		cancel()
		if err != nil {
			r.deps.Logger.Info("fleet: cannot act in place of a sidecar.", "replica", address, "err", err)
			continue
		}
		r.deps.Logger.Info("fleet: in place of a sidecar.", "replica", address, "lostFor", now.Sub(since))
		r.attendances[address] = attendance{Attendance: work, port: port, sidecar: replica.Sidecar, listedAt: r.deps.Clock.Now()}
		r.freePorts = r.freePorts[1:]
	}
}

// spread returns how long this daemon leaves a lost sidecar to others.
func (r *Replacer) spread(address string) time.Duration {
	hash := xxh3.HashStringSeed(r.deps.Name, xxh3.HashString(address))
	return time.Duration(float64(hash) / math.MaxUint64 * float64(maxSpread))
}

// Close ends all work in place of sidecars.
func (r *Replacer) Close() {
	r.cancel()
	r.tasks.Wait()
}
