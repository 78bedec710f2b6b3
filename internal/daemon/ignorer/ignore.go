// Package ignorer has a process ignore SIGHUP. To import it is enough.
package ignorer

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
