package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/bookingapp"
	"github.com/cyclamenward/cyclamenward/internal/standin/driver"
	"github.com/cyclamenward/cyclamenward/internal/standin/fleet"
	"github.com/cyclamenward/cyclamenward/internal/standin/modelengine"
	"github.com/urfave/cli/v3"
)

// demoCommand returns the command that runs the demonstration.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small deployment as separate processes and show what it does",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "product", Usage: "path of the cyclamenward program", Required: true},
			&cli.StringFlag{Name: "standin", Usage: "path of this program", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			directory, err := os.MkdirTemp("", "cyclamenward-demo-")
			if err != nil {
				return fmt.Errorf("make directory: %w", err)
			}
			defer func() { _ = os.RemoveAll(directory) }()
			d := &demonstration{print: func(format string, args ...any) {
				_, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...)
			}}
			return d.run(ctx, fleet.Options{
				ProductPath: c.String("product"), StandinPath: c.String("standin"), Directory: directory,
				Entries: 2, Engines: 3, Apps: 2, TokenInterval: 20 * time.Millisecond,
				LoadTime: 800 * time.Millisecond, DrainTimeout: 20 * time.Second,
			})
		},
	}
}

// demonstration shows the main guarantees of the product on a running fleet.
type demonstration struct {
	print func(format string, args ...any)
	fleet *fleet.Fleet
}

// run starts the fleet, shows one guarantee after the other, and stops at the first one
// that is not kept.
func (d *demonstration) run(ctx context.Context, options fleet.Options) error {
	ctx, cancel := context.WithTimeout(ctx, 50*time.Second)
	defer cancel()
	running, err := fleet.Start(options)
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	d.fleet = running
	defer running.Stop()
	d.print("started: %d entries, %d engines and %d booking app replicas, a sidecar beside each", options.Entries, options.Engines, options.Apps)
	for _, step := range []func(context.Context) error{d.showStreaming, d.showIdempotency, d.showEngineCrash, d.showRollout} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.print("demo: ok")
	return nil
}

// showStreaming sends the same long prompt twice, one after the other, and prints the time
// to the first token of each.
func (d *demonstration) showStreaming(ctx context.Context) error {
	chat := &driver.Chat{Address: d.fleet.Address("entry-0/caller"), Model: fleet.ModelName, Content: strings.Repeat("heat sheet 100 m freestyle; ", 1200), MaxTokens: 40}
	for _, turn := range []string{"first", "second"} {
		stream, err := driver.New(fleet.MeetsKey, true).Stream(ctx, chat)
		if err := checkStream(chat, stream, err, "v1"); err != nil {
			return fmt.Errorf("%s stream: %w", turn, err)
		}
		d.print("%s stream of a prompt of %d KB: %d tokens, whole, first token after %s", turn, len(chat.Content)>>10, len(stream.Tokens), stream.TimeToFirstToken.Round(time.Millisecond))
	}
	return nil
}

// showIdempotency sends the same booking three times under one idempotency key, through
// both entries. It must run once.
func (d *demonstration) showIdempotency(ctx context.Context) error {
	caller := driver.New(fleet.MeetsKey, true)
	for i := range 3 {
		answer, err := caller.Book(ctx, d.fleet.Address(fmt.Sprintf("entry-%d/caller", i%2)), "start blocks, 8 lanes", "demo-key-1", "")
		if err != nil {
			return fmt.Errorf("book: %w", err)
		}
		d.print("booking with the same key through entry-%d: status %d %s, replayed %t", i%2, answer.Status, answer.Body, answer.Replayed)
	}
	var record []bookingapp.Run
	if err := d.fleet.GetJSON("app", bookingapp.PathRecord, &record); err != nil {
		return err
	}
	if len(record) != 1 {
		return fmt.Errorf("the app ran %d bookings, not 1", len(record))
	}
	d.print("the booking app's own record holds %d run", len(record))
	return nil
}

// showEngineCrash kills the engine that serves a stream, which must be completed by
// another one.
func (d *demonstration) showEngineCrash(ctx context.Context) error {
	chat := &driver.Chat{Address: d.fleet.Address("entry-1/caller"), Model: fleet.ModelName, Content: strings.Repeat("split times; ", 1500), MaxTokens: 60}
	killed := ""
	chat.OnToken = func(tokens int) error {
		if tokens != 20 {
			return nil
		}
		killed = d.busyEngine()
		if killed == "" {
			return errors.New("no engine is running a request")
		}
		d.fleet.Process(killed).Kill()
		return nil
	}
	stream, err := driver.New(fleet.MeetsKey, true).Stream(ctx, chat)
	if err := checkStream(chat, stream, err, "v1"); err != nil {
		return fmt.Errorf("stream over a crash: %w", err)
	}
	d.print("killed %s after 20 tokens: the stream went on elsewhere and is whole with %d tokens", killed, len(stream.Tokens))
	if err := d.fleet.Process(killed).Restart(); err != nil {
		return err
	}
	return nil
}

// busyEngine returns the name of an engine that is running a request, or an empty string.
func (d *demonstration) busyEngine() string {
	for i := range 3 {
		name := fmt.Sprintf("engine-%d", i)
		var state struct {
			Running int `json:"running"`
		}
		if d.fleet.GetJSON(name, "/v1/state", &state) == nil && state.Running > 0 {
			return name
		}
	}
	return ""
}

// showRollout rolls out weights v2 and waits until all engines serve them.
func (d *demonstration) showRollout(ctx context.Context) error {
	start := time.Now()
	if err := d.fleet.Apply(d.fleet.ModelDocument("v2")); err != nil {
		return fmt.Errorf("apply v2: %w", err)
	}
	err := d.fleet.Await("weights v2", func() bool {
		for i := range 3 {
			var state struct {
				WeightsVersion string `json:"weightsVersion"`
			}
			if d.fleet.GetJSON(fmt.Sprintf("engine-%d", i), "/v1/state", &state) != nil || state.WeightsVersion != "v2" {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	chat := &driver.Chat{Address: d.fleet.Address("entry-0/caller"), Model: fleet.ModelName, Content: "which lane won", MaxTokens: 5}
	stream, err := driver.New(fleet.MeetsKey, true).Stream(ctx, chat)
	if err := checkStream(chat, stream, err, "v2"); err != nil {
		return fmt.Errorf("stream on v2: %w", err)
	}
	var orders []string
	if err := d.fleet.GetJSON("engine-0", modelengine.PathOrderList, &orders); err != nil {
		return err
	}
	d.print("weights v2 on all replicas %s after the document was sent; engine-0 took %d order", time.Since(start).Round(10*time.Millisecond), len(orders))
	return nil
}

// checkStream returns an error unless the stream is complete and has the tokens that are
// expected for the chat on the weights version. err is the error of sending the chat.
func checkStream(chat *driver.Chat, stream *driver.Stream, err error, version string) error {
	if err != nil {
		return err
	}
	if !stream.Complete {
		return fmt.Errorf("stream broke off after %d tokens: %w", len(stream.Tokens), streamError(stream))
	}
	if !slices.Equal(stream.Tokens, chat.ExpectedTokens(version, 0)) {
		return fmt.Errorf("the %d tokens received are not the expected ones", len(stream.Tokens))
	}
	return nil
}

// streamError returns the reason why a stream is not complete.
func streamError(stream *driver.Stream) error {
	if stream.Problem == nil {
		return errors.New("the stream ended without its end mark")
	}
	return stream.Problem
}
