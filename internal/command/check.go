package command

import (
	"context"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/configuration/auditor"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/urfave/cli/v3"
)

// documentChecker checks service documents.
var documentChecker = auditor.Checker{
	Decode: documentEntries,
	Differ: auditor.Differ{Names: []string{"name", "pathPrefix"}, Secrets: []string{"keyHashes"}},
}

// documentEntries lists the entries of a service document.
func documentEntries(text []byte) (auditor.Input, []auditor.Finding) {
	document, err := decoder.Decode(text)
	if err != nil {
		var findings []auditor.Finding
		for _, fault := range decoder.AsFaults(err) {
			findings = append(findings, auditor.Finding{Severity: auditor.Error, Path: fault.Path, Reason: fault.Reason})
		}
		return auditor.Input{}, findings
	}
	in := auditor.Input{Services: []*router.Service{{Name: document.Service}}, KeysNeeded: true}
	in.Routes = append(in.Routes, &router.Route{
		Name: document.Service, Host: document.Service, Prefix: "/", Timeout: document.Deadline.Max.Duration, MaxAttempts: 1,
		Shares: []router.Share{{Service: document.Service, Weight: 1}},
	})
	for _, workspace := range document.Workspaces {
		in.Workspaces = append(in.Workspaces, auditor.Workspace{Name: workspace.Name, Keys: len(workspace.KeyHashes)})
	}
	return in, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document before it is applied: errors, entries without effect, and what differs from the version in force",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "file with the version in force, as service get prints it"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			code, err := documentChecker.CheckFiles(c.Args().First(), c.String("in-force"), c.Bool("json"), c.Root().Writer)
			if err != nil {
				return cli.Exit(err.Error(), code)
			}
			if code != auditor.ExitClean {
				return cli.Exit("", code)
			}
			return nil
		},
	}
}
