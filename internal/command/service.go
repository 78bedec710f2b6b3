package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/operator"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command service apply. A document that is refused exits with 1.
const (
	exitConflict   = 3
	exitUnknown    = 4
	exitNotWritten = 5
)

func operatorSettings() []setting {
	return []setting{
		{name: "operator-address", usage: "operator address of an entry", required: true, check: checkAddress},
		{name: "operator-token", usage: "the operators' token; give it in the environment", required: true},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "work with service documents",
		Commands: []*cli.Command{
			validateCommand(),
			checkCommand(),
			applyCommand(),
			getCommand(),
			historyCommand(),
			statusCommand(),
		},
	}
}

// newOperatorClient checks the operator settings and returns a client for the operator
// API of an entry.
func newOperatorClient(c *cli.Command) (*operator.Client, error) {
	if err := checkSettings(c, operatorSettings()); err != nil {
		return nil, err
	}
	return operator.New(c.String("operator-address"), c.String("operator-token")), nil
}

// readDocument reads a file, or standard input for "-".
func readDocument(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("name a file, or - for standard input")
	}
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, decoder.MaxDocumentBytes+1))
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return text, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return text, nil
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a document without sending it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := readDocument(c.Args().First())
			if err != nil {
				return err
			}
			document, err := decoder.Decode(text)
			if err != nil {
				return err
			}
			printLine(c, "valid: service %s, %d backend servers, %d workspaces", document.Service, len(document.BackendServers), len(document.Workspaces))
			return nil
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "make a document the next revision of its service",
		ArgsUsage: "FILE",
		Flags: append(flags(operatorSettings()),
			&cli.Uint64Flag{Name: "if-match", Usage: "the revision that the document was edited from, 0 for a new service"},
			&cli.StringFlag{Name: "operation-id", Usage: "id of an earlier application whose result is unknown"},
		),
		Action: func(_ context.Context, c *cli.Command) error {
			remote, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			text, err := readDocument(c.Args().First())
			if err != nil {
				return err
			}
			document, err := decoder.Decode(text)
			if err != nil {
				return err
			}
			operation := c.String("operation-id")
			if operation == "" {
				operation = uuid.NewString()
			}
			applied, err := remote.Apply(document.Service, text, c.Uint64("if-match"), operation)
			if err != nil {
				return err
			}
			return reportApplied(c, applied)
		},
	}
}

// reportApplied prints the result of an application, or returns it as an error with its
// exit code.
func reportApplied(c *cli.Command, applied *operator.ApplyResponse) error {
	switch applied.Result {
	case operator.Accepted:
		printLine(c, "accepted: revision %d", applied.Revision)
		return nil
	case operator.Conflict:
		return cli.Exit(fmt.Sprintf("conflict: revision %d is current; get it, edit it and apply again", applied.Revision), exitConflict)
	case operator.NotWritten:
		return cli.Exit("not written: the store was not reached; apply again", exitNotWritten)
	default:
		return cli.Exit(fmt.Sprintf("unknown: apply again with --operation-id %s to get the result", applied.OperationID), exitUnknown)
	}
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print a service's document",
		ArgsUsage: "SERVICE",
		Flags:     append(flags(operatorSettings()), &cli.Uint64Flag{Name: "revision", Usage: "an earlier revision"}),
		Action: func(_ context.Context, c *cli.Command) error {
			remote, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			text, revision, err := remote.Get(c.Args().First(), c.Uint64("revision"))
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.Root().ErrWriter, "revision %d\n", revision)
			printLine(c, "%s", strings.TrimSuffix(text, "\n"))
			return nil
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list the accepted revisions of a service, newest first",
		ArgsUsage: "SERVICE",
		Flags:     flags(operatorSettings()),
		Action: func(_ context.Context, c *cli.Command) error {
			remote, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			history, err := remote.History(c.Args().First())
			if err != nil {
				return err
			}
			for _, summary := range history {
				printLine(c, "%d\t%s\t%s", summary.Revision, summary.AcceptedAt.Format("2006-01-02T15:04:05Z07:00"), summary.OperationID)
			}
			return nil
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "list the revisions that every daemon has in force",
		Flags: flags(operatorSettings()),
		Action: func(_ context.Context, c *cli.Command) error {
			remote, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			status, err := remote.Status()
			if err != nil {
				return err
			}
			for _, d := range status.Daemons {
				printLine(c, "%s\t%s\t%s", d.Address, d.Name, formatRevisions(d))
			}
			return nil
		},
	}
}

// formatRevisions returns the revisions of all services that a daemon has in force, or
// the error of a daemon that did not report them.
func formatRevisions(d operator.Daemon) string {
	if d.Error != "" {
		return d.Error
	}
	var parts []string
	for service, revision := range d.Revisions {
		parts = append(parts, fmt.Sprintf("%s=%d", service, revision))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
