// Package program is the command line of the stand-ins: one subcommand for each
// outside system, the load tool, and the demonstration.
package program

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/bookingapp"
	"github.com/cyclamenward/cyclamenward/internal/standin/hostlist"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/internal/standin/modelengine"
	"github.com/cyclamenward/cyclamenward/peer/hosts"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// New returns the command line with all subcommands. Output is written to stdout.
func New(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:   "standin",
		Usage:  "stand-ins for the systems around cyclamenward, for trials and tests",
		Writer: stdout,
		Commands: []*cli.Command{
			platformCommand(),
			engineCommand(),
			appCommand(),
			demoCommand(),
			loadCommand(),
			soakCommand(),
		},
	}
}

// addressFlag returns the flag for the address that a stand-in serves.
func addressFlag() *cli.StringFlag {
	return &cli.StringFlag{Name: "address", Usage: "IP address and TCP port", Required: true}
}

// serve serves HTTP on the address until it fails.
func serve(address string, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler, Name: "standin", MaxRequestBodySize: 16 << 20}
	if err := server.ListenAndServe(address); err != nil {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

// platformCommand returns the command that runs the platform: the key-value service and
// the list of hosts, on one address.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the key-value service and the list of hosts",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "how much the list of hosts lags"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of random faults", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			clock := timekeeper.System{}
			store := keyvalue.Handler(keyvalue.New(clock, c.Uint64("seed")))
			hostList := hostlist.Handler(hostlist.New(clock, c.Duration("lag")))
			return serve(c.String("address"), func(ctx *fasthttp.RequestCtx) {
				if string(ctx.Path()) == hosts.Path {
					hostList(ctx)
					return
				}
				store(ctx)
			})
		},
	}
}

// engineCommand returns the command that runs a model engine.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "model", Value: "meet-assistant"},
			&cli.StringFlag{Name: "weights-version", Value: "v1"},
			&cli.IntFlag{Name: "prefill-rate", Usage: "prompt tokens per second", Value: 8000},
			&cli.DurationFlag{Name: "token-interval", Value: 20 * time.Millisecond},
			&cli.IntFlag{Name: "cache-blocks", Value: 512},
			&cli.DurationFlag{Name: "load-time", Value: 800 * time.Millisecond},
			&cli.BoolFlag{Name: "checks-fencing"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return serve(c.String("address"), modelengine.Handler(modelengine.New(modelengine.Settings{
				Model:                  c.String("model"),
				WeightsVersion:         c.String("weights-version"),
				PrefillTokensPerSecond: c.Int("prefill-rate"),
				TokenInterval:          c.Duration("token-interval"),
				CacheBlocks:            c.Int("cache-blocks"),
				LoadTime:               c.Duration("load-time"),
				ChecksFencing:          c.Bool("checks-fencing"),
			})))
		},
	}
}

// appCommand returns the command that runs a booking app.
func appCommand() *cli.Command {
	return &cli.Command{
		Name:  "app",
		Usage: "run a booking app",
		Flags: []cli.Flag{addressFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return serve(c.String("address"), bookingapp.Handler(bookingapp.New()))
		},
	}
}
