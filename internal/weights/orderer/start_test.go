package orderer_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/weights/orderer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestNothingIsKnownBeforeFirstReport guards against sidecars that report their replica as unreachable
// while they start, upon which entries ended its streams (LOST).
func TestNothingIsKnownBeforeFirstReport(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		// after is the time from which on the state is known, and phase the phase then.
		after time.Duration
		phase router.Phase
	}{{"a replica that answers", nil, 50 * time.Millisecond, router.Serving}, {"one that does not", context.DeadlineExceeded, 2 * time.Second, router.Unreachable}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := orderer.New(orderer.Dependencies{
					Replica: orderer.ReplicaClient{Report: func(context.Context) (orderer.Report, error) {
						<-time.After(20 * time.Millisecond)
						return orderer.Report{}, tc.err
					}},
					WantedVersions: func() []orderer.WantedVersion { return nil },
					Token:          revisionToken, Informed: func() bool { return true }, HasBacklog: func() bool { return false }, StatusChanged: func() {},
					Clock: timekeeper.System{}, Logger: log.New(io.Discard),
				})
				defer o.Close()
				assert.Assert(t, !o.Known())
				<-time.After(tc.after)
				assert.Assert(t, o.Known())
				assert.Equal(t, o.Status().Phase, tc.phase)
			})
		})
	}
}
