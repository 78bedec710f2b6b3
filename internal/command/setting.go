package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// maxCount is the largest number of a setting.
const maxCount = 1 << 20

// environmentPrefix begins the environment variables of all settings.
const environmentPrefix = "CYCLAMENWARD_"

// setting declares one setting of a command. Its flag, its environment variable and its
// row of the reference page are derived from it.
type setting struct {
	name  string
	usage string
	// defaultValue is "" if the setting has no default.
	defaultValue string
	required     bool
	// check returns what is wrong with a value, or nil. Empty optional values
	// are not checked.
	check func(value string) error
}

// environmentVariable returns the name of the setting's environment variable.
func (s setting) environmentVariable() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// flags returns the command-line flags of the settings.
func flags(settings []setting) []cli.Flag {
	result := make([]cli.Flag, len(settings))
	for i, s := range settings {
		result[i] = &cli.StringFlag{Name: s.name, Usage: s.usage, Value: s.defaultValue, Sources: cli.EnvVars(s.environmentVariable())}
	}
	return result
}

// checkSettings checks the settings and returns all errors joined, nil if there are none.
func checkSettings(c *cli.Command, settings []setting) error {
	var errs []error
	for _, s := range settings {
		value := c.String(s.name)
		switch {
		case value == "" && s.required:
			errs = append(errs, fmt.Errorf("--%s (%s) is missing: %s", s.name, s.environmentVariable(), s.usage))
		case value != "" && s.check != nil:
			if err := s.check(value); err != nil {
				errs = append(errs, fmt.Errorf("--%s (%s): %w", s.name, s.environmentVariable(), err))
			}
		}
	}
	return errors.Join(errs...)
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func checkName(value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%q is not a name of lower-case letters, digits and hyphens", value)
	}
	return nil
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%q is not an IP address with a port, as in 10.0.0.7:7443", value)
	}
	return nil
}

func checkAddresses(value string) error {
	for _, address := range splitList(value) {
		if err := checkAddress(address); err != nil {
			return err
		}
	}
	return nil
}

func checkDuration(value string) error {
	if d, err := time.ParseDuration(value); err != nil || d < 0 {
		return fmt.Errorf("%q is not a duration such as 5s", value)
	}
	return nil
}

func checkCount(value string) error {
	if n, err := strconv.Atoi(value); err != nil || n < 0 || n > maxCount {
		return fmt.Errorf("%q is not a whole number from 0 to %d", value, maxCount)
	}
	return nil
}

func checkReadable(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("file cannot be read: %w", err)
	}
	return file.Close()
}

func checkOneOf(values ...string) func(string) error {
	return func(value string) error {
		for _, allowed := range values {
			if value == allowed {
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", value, strings.Join(values, ", "))
	}
}

func checkHash(value string) error {
	if !regexp.MustCompile(`^[0-9a-f]{64}$`).MatchString(value) {
		return errors.New("not a SHA-256 in lower-case hexadecimal (64 digits)")
	}
	return nil
}

// splitList splits a comma-separated list and drops empty parts.
func splitList(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// durationOf returns the value of a setting that checkDuration has accepted.
func durationOf(c *cli.Command, name string) time.Duration {
	d, _ := time.ParseDuration(c.String(name))
	return d
}

// countOf returns the value of a setting that checkCount has accepted.
func countOf(c *cli.Command, name string) int {
	n, _ := strconv.Atoi(c.String(name))
	return n
}

// settingsCommand returns the command that prints the reference page of all settings.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "print the reference page of all settings as Markdown",
		Action: func(_ context.Context, c *cli.Command) error {
			printLine(c, "# Settings\n\nMade by `cyclamenward settings`; do not edit. Flags go before environment variables.")
			for _, section := range []struct {
				name     string
				settings []setting
			}{{"entry", entrySettings()}, {"sidecar", sidecarSettings()}, {"service", operatorSettings()}} {
				printLine(c, "\n## cyclamenward %s\n\n| flag | environment variable | default | meaning |\n| --- | --- | --- | --- |", section.name)
				for _, s := range section.settings {
					value := s.defaultValue
					if s.required {
						value = "(required)"
					}
					printLine(c, "| `--%s` | `%s` | %s | %s |", s.name, s.environmentVariable(), value, s.usage)
				}
			}
			return nil
		},
	}
}
