package listener

import (
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadsEndAtTheDeadlineOfAFlood guards against a client whose request goes on beyond the time for a
// whole request because some byte always waits to be read. What was received in time is read.
func TestReadsEndAtTheDeadlineOfAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &conn{maxInboundBytes: 1 << 10, outbound: &outbound{conns: make(map[*conn]bool)}}
		c.changed = sync.NewCond(&c.mu)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		assert.Check(t, c.appendInbound([]byte("in time")))
		<-time.After(2 * time.Second)
		assert.Check(t, c.appendInbound([]byte(", late")))
		buffer := make([]byte, 100)
		n, err := c.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:n]), "in time")
		_, err = c.Read(buffer)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		n, err = c.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:n]), ", late")
	})
}
