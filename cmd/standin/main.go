// The standin command runs stand-ins for the systems around cyclamenward. It is not part
// of the product.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cyclamenward/cyclamenward/internal/standin/program"
)

func main() {
	if err := program.New(os.Stdout).Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
