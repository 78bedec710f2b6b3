// The capacity command measures how the costs of the system's parts grow with their
// sizes, and prints the tables of docs/CAPACITY.md.
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
