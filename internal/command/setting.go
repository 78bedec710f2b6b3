package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const environmentPrefix = "CYCLAMENWARD_"

// setting is one setting of a daemon, declared once with its documentation. The
// flag, the environment variable and the reference page are made from it.
type setting struct {
	name  string
	usage string
	// value is the default, "" for none.
	value    string
	required bool
	// check returns what is wrong with a value, or nil. Empty optional values
	// are not checked.
	check func(value string) error
}

func (s setting) environment() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

func flags(settings []setting) []cli.Flag {
	result := make([]cli.Flag, len(settings))
	for i, s := range settings {
		result[i] = &cli.StringFlag{Name: s.name, Usage: s.usage, Value: s.value, Sources: cli.EnvVars(s.environment())}
	}
	return result
}

// checkSettings returns all faults at once.
func checkSettings(c *cli.Command, settings []setting) error {
	var faults []error
	for _, s := range settings {
		value := c.String(s.name)
		switch {
		case value == "" && s.required:
			faults = append(faults, fmt.Errorf("--%s (%s) is missing: %s", s.name, s.environment(), s.usage))
		case value != "" && s.check != nil:
			if err := s.check(value); err != nil {
				faults = append(faults, fmt.Errorf("--%s (%s): %w", s.name, s.environment(), err))
			}
		}
	}
	return errors.Join(faults...)
}

var nameForm = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func checkName(value string) error {
	if !nameForm.MatchString(value) {
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

func splitList(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// duration returns a setting that was checked by checkDuration.
func duration(c *cli.Command, name string) time.Duration {
	d, _ := time.ParseDuration(c.String(name))
	return d
}

// settingsCommand prints the reference page of all settings.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "print the reference page of all settings as Markdown",
		Action: func(_ context.Context, c *cli.Command) error {
			output(c, "# Settings\n\nMade by `cyclamenward settings`; do not edit. Flags go before environment variables.")
			for _, part := range []struct {
				name     string
				settings []setting
			}{{"entry", entrySettings()}, {"sidecar", sidecarSettings()}, {"service", operatorSettings()}} {
				output(c, "\n## cyclamenward %s\n\n| flag | environment variable | default | meaning |\n| --- | --- | --- | --- |", part.name)
				for _, s := range part.settings {
					value := s.value
					if s.required {
						value = "(required)"
					}
					output(c, "| `--%s` | `%s` | %s | %s |", s.name, s.environment(), value, s.usage)
				}
			}
			return nil
		},
	}
}
