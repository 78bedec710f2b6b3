// The measure command compares the routing policy with its baselines in virtual
// time. The same seeds give the same table at each run.
package main

import (
	"os"

	"github.com/cyclamenward/cyclamenward/internal/measurer"
)

func main() {
	measurer.Print(os.Stdout, measurer.Table(measurer.DefaultPlan))
}
