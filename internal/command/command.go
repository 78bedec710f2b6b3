// Package command implements the command line of cyclamenward: one file for each
// subcommand.
package command

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Version is the version of the program. The linker sets it in releases.
var Version = "0.1.0-dev"

// New returns the root command. Its output goes to the given writers.
func New(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "cyclamenward",
		Usage:     "route language-model traffic with long shared prompts",
		Version:   Version,
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			entryCommand(),
			sidecarCommand(),
			serviceCommand(),
			explainCommand(),
			keysCommand(),
			settingsCommand(),
			versionCommand(),
		},
	}
}

// printLine writes a formatted line to the command's standard output.
func printLine(c *cli.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...)
}
