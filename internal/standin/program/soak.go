package program

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/soaker"
	"github.com/urfave/cli/v3"
)

// soakCommand returns the command that plays faults on the daemons of the users' platform.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "play faults on the daemons of the users' platform and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "path of the cyclamenward-platform program", Value: "bin/cyclamenward-platform"},
			&cli.StringFlag{Name: "product", Usage: "path of the cyclamenward program, to play on the product's own interface instead"},
			&cli.StringFlag{Name: "scenario", Usage: "play one case instead: " + strings.Join(soaker.Scenarios(), ", ")},
			&cli.BoolFlag{Name: "quiet", Usage: "play the case without its trouble"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the faults", Value: 1},
			&cli.StringFlag{Name: "seeds", Usage: "first and last seed, A-B"},
			&cli.FloatFlag{Name: "minutes", Usage: "time for each seed", Value: 0.5},
			&cli.StringFlag{Name: "logs", Usage: "folder in which the logs of failed plays are kept", Value: os.TempDir()},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs of all plays"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			soak := &soakTool{program: c.String("platform"), logs: c.String("logs"), keep: c.Bool("keep"), print: func(format string, args ...any) { _, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...) }}
			first, last, err := seedRange(c.Uint64("seed"), c.String("seeds"))
			if err != nil {
				return err
			}
			if name := c.String("scenario"); name != "" {
				for seed := first; seed <= last; seed++ {
					soak.play(name, func(folder string) ([]string, error) {
						return soaker.PlayScenario(name, soaker.Play{Folder: folder, Program: soak.program, Out: c.Root().Writer, Quiet: c.Bool("quiet"), Seed: seed})
					})
				}
				return soak.result()
			}
			length := time.Duration(c.Float("minutes") * float64(time.Minute))
			for seed := first; seed <= last; seed++ {
				soak.play(fmt.Sprintf("seed-%d", seed), func(folder string) ([]string, error) {
					if path := c.String("product"); path != "" {
						return soaker.PlayProduct(soaker.ProductOptions{Seed: seed, Time: length, Folder: folder, ProductPath: path, StandinPath: os.Args[0], Out: c.Root().Writer})
					}
					return soaker.PlaySoak(soaker.SoakOptions{Seed: seed, Time: length, Folder: folder, Program: soak.program, Out: c.Root().Writer})
				})
			}
			return soak.result()
		},
	}
}

// seedRange returns the first and the last seed to play.
func seedRange(seed uint64, text string) (first, last uint64, err error) {
	if text == "" {
		return seed, seed, nil
	}
	from, to, _ := strings.Cut(text, "-")
	if first, err = strconv.ParseUint(from, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	if last, err = strconv.ParseUint(to, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	return first, last, nil
}

// soakTool plays and counts.
type soakTool struct {
	program string
	logs    string
	keep    bool
	print   func(format string, args ...any)
	plays   int
	failed  []string
}

// play plays once. The folder with the logs is kept if a promise is broken.
func (s *soakTool) play(name string, play func(folder string) ([]string, error)) {
	s.plays++
	folder, err := os.MkdirTemp(s.logs, name+"-")
	if err != nil {
		s.print("%s: make folder: %v", name, err)
		s.failed = append(s.failed, name)
		return
	}
	broken, err := play(folder)
	if err != nil {
		broken = append(broken, "NOT RUN: "+err.Error())
	}
	if len(broken) == 0 {
		s.print("%s: held", name)
		if !s.keep {
			_ = os.RemoveAll(folder)
		}
		return
	}
	s.failed = append(s.failed, name)
	for _, text := range broken {
		s.print("%s", text)
	}
	if err := os.WriteFile(filepath.Join(folder, "broken.txt"), []byte(strings.Join(broken, "\n")+"\n"), 0o600); err != nil {
		s.print("keep the broken promises: %v", err)
	}
	s.print("%s: %d promises broken, logs in %s", name, len(broken), folder)
}

// result returns an error if a play failed.
func (s *soakTool) result() error {
	s.print("%d plays, %d failed", s.plays, len(s.failed))
	if len(s.failed) > 0 {
		return fmt.Errorf("broken promises in %s", strings.Join(s.failed, ", "))
	}
	return nil
}
