// The cyclamenward command runs the daemons of the router and gives operators
// access to service documents.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/cyclamenward/cyclamenward/internal/command"
	"github.com/urfave/cli/v3"
)

func main() {
	err := command.New(os.Stdout, os.Stderr).Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		os.Exit(exit.ExitCode())
	}
	_, _ = fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
