package divider_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// fleet is a number of daemons of two regions.
type fleet struct {
	members  []divider.Member
	dividers []*divider.Divider
}

func newFleet(size int) *fleet {
	f := &fleet{}
	for i := range size {
		f.start(divider.Member{ID: uint64(i + 1), Region: fmt.Sprint("r", i%2)})
	}
	return f
}

// start starts a daemon.
func (f *fleet) start(member divider.Member) {
	d := divider.New(timekeeper.System{})
	d.SetSelf(member)
	f.members, f.dividers = append(f.members, member), append(f.dividers, d)
}

// list has the sidecars of each region list the daemons that are selected.
func (f *fleet) list(selected func(from, listed divider.Member) bool) {
	for i, d := range f.dividers {
		members := []divider.Member{}
		for _, member := range f.members {
			if selected(f.members[i], member) {
				members = append(members, member)
			}
		}
		d.SetMembers("sidecar", members)
	}
}

// sum returns the sum of all shares.
func (f *fleet) sum() (sum float64) {
	for _, d := range f.dividers {
		sum += d.FleetShare()
	}
	return sum
}

func all(divider.Member, divider.Member) bool { return true }

func ofOwnRegion(from, listed divider.Member) bool { return from.Region == listed.Region }

func none(divider.Member, divider.Member) bool { return false }

// TestFleetSharesAddUpToOne guards against daemons that together use more than what is allowed to
// all (BUDGET): each took a fixed 24th of the extra retries, 15 times as many as allowed with
// 360 daemons. They add up to one from the start on, with and without sidecars, while
// regions have lost each other, and when daemons come and go; one more joins each fleet.
func TestFleetSharesAddUpToOne(t *testing.T) {
	for _, size := range []int{3, 23, 359} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size)
				check := func(when string, least float64) {
					t.Helper()
					sum := f.sum()
					assert.Check(t, sum <= 1+1e-9 && sum >= least, "%s: %v", when, sum)
				}
				check("without sidecars", 0)
				f.list(func(from, listed divider.Member) bool { return from == listed })
				check("as the first is listed", 0)
				<-time.After(time.Second)
				f.list(all)
				<-time.After(time.Second)
				check("all are listed", 0.99)
				<-time.After(time.Hour)
				check("an hour later", 0.99)
				f.list(ofOwnRegion)
				<-time.After(5 * time.Minute)
				check("regions have lost each other", 0.99)
				f.list(none)
				<-time.After(time.Minute)
				check("no daemon is listed", 0.99)
				f.list(all)
				f.start(divider.Member{ID: uint64(size + 1), Region: "r0"})
				f.list(all)
				check("a daemon has started", 0)
				<-time.After(settle)
				check("it is known", 0.99)
				f.dividers, f.members = f.dividers[1:], f.members[1:]
				f.list(all)
				check("a daemon has ended", 0)
				<-time.After(11 * time.Minute)
				check("it is forgotten", 0.99)
			})
		})
	}
}

// TestDaemonsThatAreNotListedHaveNoShare guards against daemons that each have all of what is bounded
// for all (BUDGET): ten minutes after the last sidecar had gone each counted itself only. It
// begins anew when they are listed again.
func TestDaemonsThatAreNotListedHaveNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		f.list(all)
		<-time.After(time.Minute)
		assert.Check(t, f.sum() > 0.99 && f.sum() <= 1+1e-9, "%v", f.sum())
		for _, d := range f.dividers {
			d.SetMembers("sidecar", nil)
		}
		for range 30 {
			<-time.After(time.Minute)
			assert.Check(t, f.sum() <= 1+1e-9, "%v", f.sum())
		}
		assert.Equal(t, f.sum(), 0.0)
		f.list(func(from, listed divider.Member) bool { return from == listed })
		assert.Equal(t, f.sum(), 0.0, "the others are not listed yet")
		f.list(all)
		<-time.After(settle)
		assert.Check(t, f.sum() > 0.99 && f.sum() <= 1+1e-9, "%v", f.sum())
	})
}

// TestDaemonsKeepTheirSharesWithoutSidecars has all sidecars end: the daemons are listed no more, and limited
// replicas still get what they may.
func TestDaemonsKeepTheirSharesWithoutSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.list(all)
		for _, d := range f.dividers {
			d.Observe(replica, rate(6), time.Now())
			d.SetSidecarsGone(true)
			d.SetMembers("sidecar", nil)
		}
		<-time.After(12 * time.Second)
		arrivals := 0
		for began := time.Now(); time.Since(began) < 30*time.Second; <-time.After(10 * time.Millisecond) {
			for _, d := range f.dividers {
				if d.Take(replica) {
					arrivals++
				}
			}
		}
		assert.Check(t, arrivals >= 170 && arrivals <= 183, "%d arrivals", arrivals)
	})
}

// settle is how long a daemon that has started takes to rely on the list.
const settle = 2 * time.Second

// TestCutOffDaemonLeavesItsShareToTheOthers guards against a limit that is exceeded (LIMIT) by daemons
// that all sidecars have lost, but not the replicas: the others use their shares after a while, and
// they do, too.
func TestCutOffDaemonLeavesItsShareToTheOthers(t *testing.T) {
	const limit, measured = 6.0, 30 * time.Second
	for _, cutOff := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3)
			f.list(all)
			for _, d := range f.dividers {
				d.Observe(replica, rate(limit), time.Now())
			}
			<-time.After(time.Second)
			f.list(func(_, listed divider.Member) bool { return listed.ID > uint64(cutOff) })
			for _, d := range f.dividers[:cutOff] {
				d.SetMembers("sidecar", nil)
			}
			<-time.After(12 * time.Second)
			arrivals := 0
			for began := time.Now(); time.Since(began) < measured; <-time.After(10 * time.Millisecond) {
				for _, d := range f.dividers {
					if d.Take(replica) {
						arrivals++
					}
				}
			}
			bursts := len(f.dividers)
			assert.Check(t, arrivals <= int(limit*measured.Seconds())+bursts, "%d of 3 cut off: %d arrivals", cutOff, arrivals)
		})
	}
}
