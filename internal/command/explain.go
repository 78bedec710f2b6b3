package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/cyclamenward/cyclamenward/internal/logging/explainer"
	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the history of one request from the logs of many processes",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads JSON logs from the files, or from standard input if none is named, and prints\n" +
			"what each process did with the request, and what became known of its replicas\n" +
			"meanwhile, in the order of time.",
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return errors.New("name the id of a request")
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			history := explainer.RequestHistory(lines, id)
			if len(history) == 0 {
				return fmt.Errorf("no line of %d is about request %s", len(lines), id)
			}
			for _, line := range history {
				printLine(c, "%s", line)
			}
			return nil
		},
	}
}

func readLogs(files []string) ([]explainer.Line, error) {
	if len(files) == 0 {
		lines, _, err := explainer.Read(os.Stdin, "stdin")
		return lines, err
	}
	var all []explainer.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explainer.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines, _, err := explainer.Read(file, name)
	return lines, err
}
