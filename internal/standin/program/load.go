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

// loadCommand drives streams through a deployment and prints histograms.
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
			l := &load{fleet: f, tokens: c.Int("tokens"), prompt: strings.Repeat("x", c.Int("prompt-kilobytes")<<10)}
			l.print = func(format string, args ...any) { _, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...) }
			if n := c.Int("idle-streams"); n > 0 {
				return l.idle(ctx, n)
			}
			return l.drive(ctx, c.Int("rate"), c.Duration("length"))
		},
	}
}

// load is one run of the load tool.
type load struct {
	print  func(format string, args ...any)
	fleet  *fleet.Fleet
	tokens int
	prompt string
}

// timings are the histograms of one path, in microseconds.
type timings struct {
	mu          sync.Mutex
	first, gaps *hdrhistogram.Histogram
	failed      int
}

func newTimings() *timings {
	return &timings{first: hdrhistogram.New(1, 60_000_000, 3), gaps: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *timings) add(s *driver.Stream, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || !s.Complete {
		t.failed++
		return
	}
	_ = t.first.RecordValue(s.TimeToFirstToken.Microseconds())
	for _, gap := range s.TokenGaps {
		_ = t.gaps.RecordValue(gap.Microseconds())
	}
}

// drive sends the same load straight to the engines and then through an entry.
func (l *load) drive(ctx context.Context, rate int, length time.Duration) error {
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
		t, sent := pace(rate, length, path.send)
		after, err := l.processorTimes()
		if err != nil {
			return err
		}
		l.print("%s: %d requests, %d failed; first token 50%% %d us, 99%% %d us; between tokens 50%% %d us, 99%% %d us; processor per request: entry %.0f us, sidecars %.0f us",
			path.name, sent, t.failed, t.first.ValueAtQuantile(50), t.first.ValueAtQuantile(99), t.gaps.ValueAtQuantile(50), t.gaps.ValueAtQuantile(99),
			float64((after[0]-before[0]).Microseconds())/float64(sent), float64((after[1]-before[1]).Microseconds())/float64(sent))
	}
	return nil
}

// pace sends at a constant rate and waits for all answers.
func pace(rate int, length time.Duration, send func() (*driver.Stream, error)) (*timings, int) {
	t := newTimings()
	var group sync.WaitGroup
	sent := int(float64(rate) * length.Seconds())
	began := time.Now()
	for i := range sent {
		time.Sleep(time.Until(began.Add(length * time.Duration(i) / time.Duration(sent))))
		group.Add(1)
		go func() {
			defer group.Done()
			t.add(send())
		}()
	}
	group.Wait()
	return t, sent
}

// processorTimes returns the processor time of the entry and of the sidecars.
func (l *load) processorTimes() ([2]time.Duration, error) {
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

// idle opens slow streams and prints what each costs the entry and its sidecars.
func (l *load) idle(ctx context.Context, count int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read limit of open files: %w", err)
	}
	if uint64(count)*2 > limit.Cur {
		return fmt.Errorf("%d streams need more open files than %d", count, limit.Cur)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, err := l.memories()
	if err != nil {
		return err
	}
	caller := driver.New(fleet.MeetsKey, false)
	var running atomic.Int64
	for range count {
		go func() {
			chat := &driver.Chat{Address: l.fleet.Address("entry-0/caller"), Model: fleet.ModelName, Content: l.prompt, MaxTokens: 1000, Timeout: time.Minute}
			chat.OnToken = func(tokens int) error {
				if tokens == 1 {
					running.Add(1)
				}
				return nil
			}
			_, _ = caller.Stream(ctx, chat)
		}()
		time.Sleep(time.Millisecond)
	}
	for wait := 0; running.Load() < int64(count) && wait < 200; wait++ {
		time.Sleep(100 * time.Millisecond)
	}
	after, err := l.memories()
	if err != nil {
		return err
	}
	if running.Load() < int64(count) {
		return errors.New("only " + fmt.Sprint(running.Load()) + " streams began")
	}
	l.print("%d streams: entry %.1f KB, sidecars %.1f KB each (resident memory)", count, float64(after[0]-before[0])/float64(count)/1024, float64(after[1]-before[1])/float64(count)/1024)
	return nil
}

// memories returns the resident memory of the entry and of the sidecars, in bytes.
func (l *load) memories() ([2]int, error) {
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
