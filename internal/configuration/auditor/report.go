package auditor

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/goccy/go-yaml"
)

// Exit codes of a check.
const (
	// ExitClean means that nothing was found.
	ExitClean = 0
	// ExitErrors means that there is an error.
	ExitErrors = 1
	// ExitUnreadable means that a file could not be read, or that the call is wrong.
	ExitUnreadable = 2
	// ExitWarnings means that there are warnings only.
	ExitWarnings = 3
)

// Report is the outcome of a check.
type Report struct {
	// Findings are in the order of Audit, Changes in that of their paths. Compared is set if there was a
	// configuration in force to compare with.
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
	Compared bool      `json:"compared"`
}

// ExitCode returns the exit code of the check.
func (r Report) ExitCode() int {
	switch {
	case slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Severity == Error }):
		return ExitErrors
	case len(r.Findings) > 0:
		return ExitWarnings
	}
	return ExitClean
}

// Write writes the report as lines of text, or as one JSON object.
func (r Report) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		r.Findings, r.Changes = append([]Finding{}, r.Findings...), append([]Change{}, r.Changes...)
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Reason))
	}
	for _, c := range r.Changes {
		switch {
		case c.Before == "":
			lines = append(lines, fmt.Sprintf("added: %s: %s", c.Path, c.After))
		case c.After == "":
			lines = append(lines, fmt.Sprintf("removed: %s: %s", c.Path, c.Before))
		default:
			lines = append(lines, fmt.Sprintf("changed: %s: %s -> %s", c.Path, c.Before, c.After))
		}
	}
	lines = append(lines, fmt.Sprintf("%d findings, %s", len(r.Findings), r.compared()))
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

func (r Report) compared() string {
	if !r.Compared {
		return "not compared with a version in force"
	}
	return fmt.Sprintf("%d changes", len(r.Changes))
}

// Checker checks the files of one format.
type Checker struct {
	// Decode lists the entries of a file, or says what keeps it from being used.
	Decode func(text []byte) (Input, []Finding)
	// Differ compares two files.
	Differ Differ
}

// Check checks a configuration, and compares it with the one in force unless that is nil.
func (c Checker) Check(text, inForce []byte) (Report, error) {
	var report Report
	input, faults := c.Decode(text)
	if report.Findings = faults; len(faults) == 0 {
		report.Findings = Audit(input)
	}
	if inForce == nil {
		return report, nil
	}
	var before, after any
	if err := yaml.Unmarshal(inForce, &before); err != nil {
		return Report{}, fmt.Errorf("read the version in force: %w", err)
	}
	if err := yaml.Unmarshal(text, &after); err != nil {
		// The finding says so already.
		return report, nil
	}
	report.Changes, report.Compared = c.Differ.Compare(before, after), true
	return report, nil
}

// CheckFiles checks the file at a path, compares it with that at inForcePath unless that is "", writes the
// report and returns the exit code. An error is of a file that cannot be read.
func (c Checker) CheckFiles(path, inForcePath string, asJSON bool, out io.Writer) (int, error) {
	if path == "" {
		return ExitUnreadable, errors.New("name a file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return ExitUnreadable, fmt.Errorf("read configuration: %w", err)
	}
	var inForce []byte
	if inForcePath != "" {
		if inForce, err = os.ReadFile(inForcePath); err != nil {
			return ExitUnreadable, fmt.Errorf("read the version in force: %w", err)
		}
	}
	report, err := c.Check(text, inForce)
	if err != nil {
		return ExitUnreadable, err
	}
	if err := report.Write(out, asJSON); err != nil {
		return ExitUnreadable, err
	}
	return report.ExitCode(), nil
}

// Run checks the file that the arguments of a command name and returns its exit code.
func (c Checker) Run(args []string, out, problems io.Writer) int {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(problems)
	inForce, asJSON := flags.String("in-force", "", "file with the version in force"), flags.Bool("json", false, "print one JSON object")
	if flags.Parse(args) != nil {
		return ExitUnreadable
	}
	code, err := c.CheckFiles(flags.Arg(0), *inForce, *asJSON, out)
	if err != nil {
		_, _ = fmt.Fprintln(problems, "check:", err)
	}
	return code
}
