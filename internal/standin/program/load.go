package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cyclamenward/cyclamenward/internal/standin/driver"
	"github.com/cyclamenward/cyclamenward/internal/standin/fleet"
	"github.com/urfave/cli/v3"
)

// loadCommand returns the command of the load tool, which sends streams through a
// deployment and prints percentiles of the latencies.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "drive streams through a small deployment and print histograms",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "product", Usage: "path of the cyclamenward program", Required: true},
			&cli.StringFlag{Name: "standin", Usage: "path of this program", Required: true},
			&cli.IntFlag{Name: "rate", Usage: "requests per second", Value: 200},
			&cli.DurationFlag{Name: "length", Usage: "how long", Value: 5 * time.Second},
			&cli.IntFlag{Name: "prompt-kilobytes", Value: 32},
			&cli.IntFlag{Name: "tokens", Value: 100},
			&cli.DurationFlag{Name: "token-interval", Value: 10 * time.Millisecond},
			&cli.IntFlag{Name: "idle-streams", Usage: "instead, open this many slow streams and print the memory of each"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			directory, err := os.MkdirTemp("", "cyclamenward-load-")
			if err != nil {
				return fmt.Errorf("make directory: %w", err)
			}
			defer func() { _ = os.RemoveAll(directory) }()
			interval := c.Duration("token-interval")
			if c.Int("idle-streams") > 0 {
				interval = time.Second
			}
			f, err := fleet.Start(fleet.Options{
				ProductPath: c.String("product"), StandinPath: c.String("standin"), Directory: directory,
				Entries: 1, Engines: 2, TokenInterval: interval, LoadTime: time.Second, DrainTimeout: time.Second,
				PrefillTokensPerSecond: 10_000_000, QueueLimit: 10_000, EngineSlots: 10_000,
			})
			if err != nil {
				return fmt.Errorf("start fleet: %w", err)
			}
			defer f.Stop()
			tool := &loadTool{fleet: f, tokens: c.Int("tokens"), prompt: strings.Repeat("x", c.Int("prompt-kilobytes")<<10)}
			tool.print = func(format string, args ...any) { _, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...) }
			if n := c.Int("idle-streams"); n > 0 {
				return tool.measureIdleStreams(ctx, n)
			}
			return tool.measureLatencies(ctx, c.Int("rate"), c.Duration("length"))
		},
	}
}

// loadTool holds the deployment and the request that the load tool sends to it.
type loadTool struct {
	print  func(format string, args ...any)
	fleet  *fleet.Fleet
	tokens int
	prompt string
}

// timings holds histograms of the complete streams over one path, in microseconds, and
// the number of streams that failed.
type timings struct {
	mu                    sync.Mutex
	firstToken, tokenGaps *hdrhistogram.Histogram
	failed                int
}

// newTimings returns empty histograms up to one minute.
func newTimings() *timings {
	return &timings{firstToken: hdrhistogram.New(1, 60_000_000, 3), tokenGaps: hdrhistogram.New(1, 60_000_000, 3)}
}

// record adds the result of one stream.
func (t *timings) record(s *driver.Stream, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || !s.Complete {
		t.failed++
		return
	}
	_ = t.firstToken.RecordValue(s.TimeToFirstToken.Microseconds())
	for _, gap := range s.TokenGaps {
		_ = t.tokenGaps.RecordValue(gap.Microseconds())
	}
}

// measureLatencies sends the same load first straight to an engine and then through an
// entry, and prints the latencies and the processor time of both.
func (l *loadTool) measureLatencies(ctx context.Context, rate int, duration time.Duration) error {
	caller := driver.New(fleet.MeetsKey, true)
	direct := func() (*driver.Stream, error) {
		return driver.StreamDirect(l.fleet.Address("engine-0"), l.prompt, l.tokens)
	}
	routed := func() (*driver.Stream, error) {
		return caller.Stream(ctx, &driver.Chat{Address: l.fleet.Address("entry-0/caller"), Model: fleet.ModelName, Content: l.prompt, MaxTokens: l.tokens})
	}
	for _, path := range []struct {
		name string
		send func() (*driver.Stream, error)
	}{{"direct", direct}, {"routed", routed}} {
		if _, err := path.send(); err != nil {
			return fmt.Errorf("%s: %w", path.name, err)
		}
		before, err := l.processorTimes()
		if err != nil {
			return err
		}
		t, sent := sendAtRate(rate, duration, path.send)
		after, err := l.processorTimes()
		if err != nil {
			return err
		}
		l.print("%s: %d requests, %d failed; first token 50%% %d us, 99%% %d us; between tokens 50%% %d us, 99%% %d us; processor per request: entry %.0f us, sidecars %.0f us",
			path.name, sent, t.failed, t.firstToken.ValueAtQuantile(50), t.firstToken.ValueAtQuantile(99), t.tokenGaps.ValueAtQuantile(50), t.tokenGaps.ValueAtQuantile(99),
			float64((after[0]-before[0]).Microseconds())/float64(sent), float64((after[1]-before[1]).Microseconds())/float64(sent))
	}
	return nil
}

// sendAtRate sends requests at a constant rate for the duration and waits for all
// answers. It returns their timings and their number.
func sendAtRate(rate int, duration time.Duration, send func() (*driver.Stream, error)) (*timings, int) {
	t := newTimings()
	var group sync.WaitGroup
	sent := int(float64(rate) * duration.Seconds())
	started := time.Now()
	for i := range sent {
		time.Sleep(time.Until(started.Add(duration * time.Duration(i) / time.Duration(sent))))
		group.Add(1)
		go func() {
			defer group.Done()
			t.record(send())
		}()
	}
	group.Wait()
	return t, sent
}

// processorTimes returns the processor time that the entry and the sidecars have used.
func (l *loadTool) processorTimes() ([2]time.Duration, error) {
	var times [2]time.Duration
	for i, names := range [][]string{{"entry-0"}, {"sidecar-0", "sidecar-1"}} {
		for _, name := range names {
			used, err := l.fleet.Process(name).ProcessorTime()
			if err != nil {
				return times, err
			}
			times[i] += used
		}
	}
	return times, nil
}

// measureIdleStreams opens slow streams and prints the resident memory that each adds to
// the entry and to the sidecars.
func (l *loadTool) measureIdleStreams(ctx context.Context, count int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read limit of open files: %w", err)
	}
	if uint64(count)*2 > limit.Cur {
		return fmt.Errorf("%d streams need more open files than %d", count, limit.Cur)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, err := l.residentMemories()
	if err != nil {
		return err
	}
	caller := driver.New(fleet.MeetsKey, false)
	var begun atomic.Int64
	for range count {
		go func() {
			chat := &driver.Chat{Address: l.fleet.Address("entry-0/caller"), Model: fleet.ModelName, Content: l.prompt, MaxTokens: 1000, Timeout: time.Minute}
			chat.OnToken = func(tokens int) error {
				if tokens == 1 {
					begun.Add(1)
				}
				return nil
			}
			_, _ = caller.Stream(ctx, chat)
		}()
		time.Sleep(time.Millisecond)
	}
	for polls := 0; begun.Load() < int64(count) && polls < 200; polls++ {
		time.Sleep(100 * time.Millisecond)
	}
	after, err := l.residentMemories()
	if err != nil {
		return err
	}
	if begun.Load() < int64(count) {
		return errors.New("only " + fmt.Sprint(begun.Load()) + " streams began")
	}
	l.print("%d streams: entry %.1f KB, sidecars %.1f KB each (resident memory)", count, float64(after[0]-before[0])/float64(count)/1024, float64(after[1]-before[1])/float64(count)/1024)
	return nil
}

// residentMemories returns the resident memory of the entry and of the sidecars, in bytes.
func (l *loadTool) residentMemories() ([2]int, error) {
	var sizes [2]int
	for i, names := range [][]string{{"entry-0"}, {"sidecar-0", "sidecar-1"}} {
		for _, name := range names {
			size, err := l.fleet.Process(name).ResidentMemory()
			if err != nil {
				return sizes, err
			}
			sizes[i] += size
		}
	}
	return sizes, nil
}
