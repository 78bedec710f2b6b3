package command

import (
	"context"
	"runtime"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			printLine(c, "cyclamenward %s %s %s/%s", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		},
	}
}
