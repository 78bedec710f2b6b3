// The capacity command measures the slopes behind docs/CAPACITY.md and prints its
// tables.
package main

import (
	"fmt"
	"os"

	"github.com/cyclamenward/cyclamenward/internal/prober"
)

func main() {
	if err := prober.Run(os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
