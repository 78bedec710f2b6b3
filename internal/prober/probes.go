package prober

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/keys"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/cyclamenward/cyclamenward/tracker"
)

// newPool returns a pool of the given number of replicas, each with a reported state.
func newPool(replicas int) *router.Pool {
	clock := timekeeper.System{}
	pool := router.NewPool(clock)
	list := make([]router.Descriptor, replicas)
	for i := range list {
		list[i] = router.Descriptor{ID: fmt.Sprintf("service/replica-%05d", i), Service: "service", Address: fmt.Sprintf("10.0.%d.%d:7443", i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%19), Region: fmt.Sprintf("region-%d", i%7), Slots: 6}
	}
	pool.SetReplicas(list)
	for _, d := range list {
		pool.UpdateState(d.Address, router.State{WeightsVersions: map[string]int{"model": 1}})
	}
	return pool
}

// newRouter returns a router with a transport that answers every attempt at once.
func newRouter(pool *router.Pool) *router.Router {
	options := router.Options{
		Zone: "zone-0", Region: "region-0", PrefillTokensPerSecond: 8000, DelayPerRunningRequest: time.Millisecond, RetryBudget: limiter.BudgetLimits{Ratio: 0.1, Extra: 20, Window: 10 * time.Second},
		SupersededAt: func(string, int) (time.Time, bool) { return time.Time{}, false },
	}
	send := func(context.Context, *router.Attempt) (*router.Reply, error) {
		return &router.Reply{
			Status: 200, WeightsVersion: 1, Running: -1, Queued: -1, Close: func() {}, SetDeadline: func(time.Time) {},
			NextEvent: func() (router.Event, error) { return router.Event{}, io.EOF },
		}, nil
	}
	return router.New(options, pool, router.Transport{Send: send}, timekeeper.System{}, log.New(io.Discard), recorder.New())
}

// newPrompt returns a prompt of the given size and its hash chain.
func newPrompt(kilobytes int) ([]byte, []chainer.Hash) {
	prompt := bytes.Repeat([]byte("p"), kilobytes<<10)
	return prompt, chainer.Chain(nil, chainer.Scope{Workspace: "w", WeightsVersion: "v1"}, prompt)
}

// measureRouting measures the processor time of routing one request, by the number of
// replicas.
func measureRouting() Series {
	series := Series{Name: "one request through the routing core, 8 blocks, log line included", SizeUnit: "replicas", ValueUnit: "µs of processor"}
	_, chain := newPrompt(32)
	prompt := &router.Prompt{Model: "model", Tokens: len(chain) * chainer.BlockTokens, MaxOutputTokens: 100, SharingUnknown: true}
	for _, block := range chain {
		prompt.Parts = append(prompt.Parts, router.PromptPart{ID: block.String(), Tokens: chainer.BlockTokens})
	}
	prompt.Parts = append(prompt.Parts, router.PromptPart{})
	catalog := router.NewCatalog(1, router.Limits{}, nil, []*router.Service{{Name: "service", Engine: &router.Engine{NoTransfers: true, ReuseWeight: 6}}}, nil)
	route := &router.Route{Name: "service", Kind: router.Streaming, MaxAttempts: 8, Resumable: true, Shares: []router.Share{{Service: "service", Weight: 1}}}
	for _, replicas := range []int{12, 120, 1200, 12_000} {
		r := newRouter(newPool(replicas))
		series.Points = append(series.Points, Point{float64(replicas), microsecondsPerCall(func() {
			now := time.Now()
			result := r.Begin(&router.Request{ID: "request", Catalog: catalog, Route: route, Workspace: &router.Workspace{Name: "w", Dedicated: true}, Arrived: now, Deadline: now.Add(time.Minute), Prompt: prompt, LastEventID: -1})
			if result.Stream != nil {
				result.Stream.Close()
			}
		})})
	}
	return series
}

// measureHashChain measures the processor time of hashing a prompt, by its size.
func measureHashChain() Series {
	series := Series{Name: "hash chain of a prompt", SizeUnit: "KB", ValueUnit: "µs of processor"}
	for _, kilobytes := range []int{4, 32, 128, 512} {
		prompt, chain := newPrompt(kilobytes)
		series.Points = append(series.Points, Point{float64(kilobytes), microsecondsPerCall(func() {
			chain = chainer.Chain(chain[:0], chainer.Scope{Workspace: "w", WeightsVersion: "v1"}, prompt)
		})})
	}
	return series
}

// measureReplicaPool measures an entry's memory for replicas, by their number.
func measureReplicaPool() Series {
	series := Series{Name: "replicas known to an entry", SizeUnit: "replicas", ValueUnit: "bytes"}
	for _, replicas := range []int{1200, 4000, 12_000} {
		series.Points = append(series.Points, Point{float64(replicas), heapBytes(func() any { return newPool(replicas) })})
	}
	return series
}

// maxHolderIndexParts is the largest number of prompt parts in a router's holder index:
// two generations of 20,000.
const maxHolderIndexParts = 40_000

// measureHolderIndex measures an entry's memory for its holder index, by the number of
// prompt parts.
func measureHolderIndex() Series {
	series := Series{Name: "parts of prompts remembered by an entry, with two holders each", SizeUnit: "parts", ValueUnit: "bytes"}
	for _, parts := range []int{4000, 12_000, maxHolderIndexParts} {
		pool := newPool(100)
		series.Points = append(series.Points, Point{float64(parts), heapBytes(func() any {
			r := newRouter(pool)
			keys := make([]uint64, 1)
			for i := range parts {
				keys[0] = uint64(i)
				r.UpdateReplicaCache(fmt.Sprintf("10.0.0.%d:7443", i%100), keys, nil, false)
				r.UpdateReplicaCache(fmt.Sprintf("10.0.0.%d:7443", (i+1)%100), keys, nil, false)
			}
			return r
		})})
	}
	return series
}

// measureCacheIndex measures a sidecar's memory for its cache index, by the number of
// blocks.
func measureCacheIndex() Series {
	series := Series{Name: "cached blocks known to a sidecar", SizeUnit: "blocks", ValueUnit: "bytes"}
	for _, blocks := range []int{2_000, 8_000, 24_000} {
		series.Points = append(series.Points, Point{float64(blocks), heapBytes(func() any { return newFilledIndex(blocks) })})
	}
	return series
}

// newFilledIndex returns a cache index of the given number of blocks.
func newFilledIndex(blocks int) *tracker.Index {
	cacheIndex := tracker.New(1 << 20)
	cacheIndex.SetIncarnation("engine")
	list := make([]chainer.Hash, blocks)
	for i := range list {
		list[i] = chainer.Hash{byte(i), byte(i >> 8), byte(i >> 16)}
	}
	cacheIndex.Replace("engine", 0, list)
	return cacheIndex
}

// measureCacheEvents measures a sidecar's processor time for a batch of cache events,
// by its size.
func measureCacheEvents() Series {
	series := Series{Name: "cache events at a sidecar", SizeUnit: "events", ValueUnit: "µs of processor"}
	for _, events := range []int{30, 100, 300} {
		cacheIndex := newFilledIndex(24_000)
		sequence := uint64(0)
		batch := make([]tracker.Event, events)
		series.Points = append(series.Points, Point{float64(events), microsecondsPerCall(func() {
			for i := range batch {
				sequence++
				batch[i] = tracker.Event{Sequence: sequence, Removed: sequence%2 == 0, Block: chainer.Hash{byte(sequence / 2), byte(sequence >> 9), 1}}
			}
			cacheIndex.Apply("engine", batch)
		})})
	}
	return series
}

// newDocument returns a service document with the given numbers of workspaces and
// backend servers.
func newDocument(workspaces, servers int) []byte {
	d := decoder.Document{Service: "pool", Kind: decoder.ModelPool, Model: &decoder.Model{Name: "m", WeightsVersion: "v1"}}
	d.Deadline.Default.Duration, d.Deadline.Max.Duration = time.Second, time.Minute
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%05d", i)
		d.Workspaces = append(d.Workspaces, decoder.Workspace{Name: name, KeyHashes: []string{decoder.HashKey(name)}})
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, decoder.BackendServer{
			Name: fmt.Sprintf("replica-%05d", i), Sidecar: fmt.Sprintf("10.0.%d.%d:7443", i/250, i%250), AvailabilityZone: "zone-0", Region: "region-0",
		})
	}
	text, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return text
}

// measureDocuments returns the size of a service document, the processor time for
// decoding it and the memory for holding it, by the number of workspaces.
func measureDocuments() []Series {
	size := Series{Name: "a service document", SizeUnit: "workspaces", ValueUnit: "bytes of text"}
	decode := Series{Name: "decoding a service document", SizeUnit: "workspaces", ValueUnit: "µs of processor"}
	memory := Series{Name: "a document held by a daemon", SizeUnit: "workspaces", ValueUnit: "bytes"}
	for _, workspaces := range []int{100, 400, 1600} {
		text := newDocument(workspaces, 12)
		size.Points = append(size.Points, Point{float64(workspaces), float64(len(text))})
		decode.Points = append(decode.Points, Point{float64(workspaces), microsecondsPerCall(func() {
			if _, err := decoder.Decode(text); err != nil {
				panic(err)
			}
		})})
		memory.Points = append(memory.Points, Point{float64(workspaces), heapBytes(func() any {
			table := spreader.New(decoder.Decode)
			if _, err := table.Offer("pool", 1, bytes.Clone(text)); err != nil {
				panic(err)
			}
			return table
		})})
	}
	return []Series{size, decode, memory}
}

// loopbackLink is a link server on loopback and the certificates for its clients.
// directory holds the files of the certificates.
type loopbackLink struct {
	server    *link.Server
	bundle    *keys.Bundle
	directory string
}

// newLoopbackLink starts a link server that answers each request with the one frame that
// answer returns.
func newLoopbackLink(answer func(request *link.Request) *link.Frame) (*loopbackLink, error) {
	directory, err := os.MkdirTemp("", "cyclamenward-capacity-")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	if err := keys.MakeAuthority(directory); err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	if err := keys.MakeDaemonCertificate(directory, "probe"); err != nil {
		return nil, fmt.Errorf("make certificate: %w", err)
	}
	bundle, err := keys.Load(directory+"/authority.pem", directory+"/probe.pem", directory+"/probe-key.pem")
	if err != nil {
		return nil, fmt.Errorf("load keys: %w", err)
	}
	server, err := link.NewServer("127.0.0.1:0", bundle.ServerConfig(), func(_ context.Context, request *link.Request, stream *link.Stream) {
		_ = stream.Send(answer(request))
	})
	if err != nil {
		return nil, fmt.Errorf("start server: %w", err)
	}
	return &loopbackLink{server: server, bundle: bundle, directory: directory}, nil
}

func (l *loopbackLink) close() {
	l.server.Close()
	_ = os.RemoveAll(l.directory)
}

// exchange opens several connections, makes the given number of exchanges on each, and
// returns the mean per exchange, with its share of the connection's setup: the bytes
// in both directions, and the processor time at both ends in microseconds.
func (l *loopbackLink) exchange(config *tls.Config, request *link.Request, exchangesPerConnection int) (traffic, cost float64, err error) {
	const connections = 40
	used := processorTime()
	total := link.Traffic{}
	for range connections {
		client, err := link.NewClient(config)
		if err != nil {
			return 0, 0, fmt.Errorf("make client: %w", err)
		}
		for range exchangesPerConnection {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := client.RoundTrip(ctx, l.server.Addr().String(), request)
			cancel()
			if err != nil {
				client.Close()
				return 0, 0, fmt.Errorf("exchange with the loopback server: %w", err)
			}
		}
		client.Close()
		connectionTraffic := client.Traffic()
		total.Sent += connectionTraffic.Sent
		total.Received += connectionTraffic.Received
	}
	exchanges := float64(connections * exchangesPerConnection)
	return float64(total.Sent+total.Received) / exchanges, float64((processorTime() - used).Microseconds()) / exchanges, nil
}

// measureExchanges measures the traffic and the processor time of an exchange of
// digests when there is no change to send, by the number of connections per exchange:
// at 1 each exchange sets up a connection of its own.
func measureExchanges() ([]Series, error) {
	loopback, err := newLoopbackLink(func(*link.Request) *link.Frame {
		return &link.Frame{Kind: link.SyncResult, Sync: &link.SyncState{Daemon: "daemon-00000", Digest: 1 << 60}}
	})
	if err != nil {
		return nil, err
	}
	defer loopback.close()
	traffic := Series{Name: "exchange of digests at rest", SizeUnit: "connections per exchange", ValueUnit: "bytes both ways"}
	cost := Series{Name: "exchange of digests at rest", SizeUnit: "connections per exchange", ValueUnit: "µs of processor at both ends"}
	request := &link.Request{Kind: link.Sync, Sync: &link.SyncState{Daemon: "daemon-00001", Digest: 1 << 60}}
	for _, exchangesPerConnection := range []int{1, 2, 4, 16} {
		bytesBoth, microseconds, err := loopback.exchange(loopback.bundle.ClientConfig(), request, exchangesPerConnection)
		if err != nil {
			return nil, err
		}
		traffic.Points = append(traffic.Points, Point{1 / float64(exchangesPerConnection), bytesBoth})
		cost.Points = append(cost.Points, Point{1 / float64(exchangesPerConnection), microseconds})
	}
	return []Series{traffic, cost}, nil
}

// measureOpenLink measures the traffic of a link that stays open, by the number of
// exchanges a second on it. The fitted traffic at 0 exchanges is that of keep-alive.
func measureOpenLink() (Series, error) {
	series := Series{Name: "a link that stays open", SizeUnit: "exchanges/s on it", ValueUnit: "bytes/s both ways"}
	loopback, err := newLoopbackLink(func(*link.Request) *link.Frame {
		return &link.Frame{Kind: link.SyncResult, Sync: &link.SyncState{Daemon: "daemon-00000", Digest: 1 << 60}}
	})
	if err != nil {
		return series, err
	}
	defer loopback.close()
	type result struct {
		point Point
		err   error
	}
	results := make(chan result)
	intervals := []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second}
	for _, interval := range intervals {
		go func() {
			rate, err := loopback.openLinkRate(interval)
			results <- result{Point{1 / interval.Seconds(), rate}, err}
		}()
	}
	for range intervals {
		r := <-results
		if r.err != nil {
			return series, r.err
		}
		series.Points = append(series.Points, r.point)
	}
	slices.SortFunc(series.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return series, nil
}

// openLinkRate makes an exchange on one link at each interval, for 9 seconds, and
// returns the link's bytes a second in both directions. The link's setup and the first
// second after it do not count.
func (l *loopbackLink) openLinkRate(interval time.Duration) (float64, error) {
	const duration = 9 * time.Second
	client, err := link.NewClient(l.bundle.ClientConfig())
	if err != nil {
		return 0, fmt.Errorf("make client: %w", err)
	}
	defer client.Close()
	exchange := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.RoundTrip(ctx, l.server.Addr().String(), &link.Request{Kind: link.Sync, Sync: &link.SyncState{Daemon: "daemon-00001", Digest: 1 << 60}})
		return err
	}
	if err := exchange(); err != nil {
		return 0, fmt.Errorf("exchange with the loopback server: %w", err)
	}
	<-time.After(time.Second)
	before, started := client.Traffic(), time.Now()
	for time.Since(started) < duration {
		<-time.After(interval)
		if err := exchange(); err != nil {
			return 0, fmt.Errorf("exchange with the loopback server: %w", err)
		}
	}
	after := client.Traffic()
	return float64(after.Sent+after.Received-before.Sent-before.Received) / time.Since(started).Seconds(), nil
}

// measureDocumentChange measures the traffic for sending a change of one workspace in a
// document over an open link, by the size of the document.
func measureDocumentChange() (Series, error) {
	series := Series{Name: "a changed document on an open link", SizeUnit: "KB of document", ValueUnit: "bytes both ways"}
	for _, workspaces := range []int{40, 160, 640} {
		before := newDocument(workspaces, 12)
		after := bytes.Replace(before, []byte(`"workspace-00020"`), []byte(`"workspace-renamed"`), 1)
		traffic, err := changeTraffic(before, after)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, Point{float64(len(after)) / 1024, traffic})
	}
	return series, nil
}

// changeTraffic lets one daemon send another a new revision of a document and returns
// the bytes in both directions. The receiver holds the earlier revision.
func changeTraffic(before, after []byte) (float64, error) {
	options := spreader.Options{ExchangeTimeout: time.Second, ExchangeInterval: time.Hour, RotationInterval: time.Hour, WatchRetryInterval: time.Hour}
	noPeers := spreader.Peers{All: func() []string { return nil }}
	source := spreader.Source{}
	receiverTable := spreader.New(decoder.Decode)
	receiverGossip := spreader.NewGossip(receiverTable, timekeeper.System{}, spreader.Random(1), noPeers, source, options, func(error) {})
	defer receiverGossip.Close()
	loopback, err := newLoopbackLink(func(request *link.Request) *link.Frame {
		return &link.Frame{Kind: link.SyncResult, Sync: daemon.ToSyncMessage("b", receiverGossip.Answer(daemon.FromSyncMessage(request.Sync)))}
	})
	if err != nil {
		return 0, err
	}
	defer loopback.close()
	client, err := link.NewClient(loopback.bundle.ClientConfig())
	if err != nil {
		return 0, fmt.Errorf("make client: %w", err)
	}
	defer client.Close()
	peers := noPeers
	peers.Exchange = func(ctx context.Context, peer string, state spreader.SyncState) (spreader.SyncState, error) {
		frame, err := client.RoundTrip(ctx, peer, &link.Request{Kind: link.Sync, Sync: daemon.ToSyncMessage("a", state)})
		if err != nil {
			return spreader.SyncState{}, err
		}
		return daemon.FromSyncMessage(frame.Sync), nil
	}
	senderTable := spreader.New(decoder.Decode)
	senderGossip := spreader.NewGossip(senderTable, timekeeper.System{}, spreader.Random(2), peers, source, options, func(error) {})
	defer senderGossip.Close()
	if _, err := senderTable.Offer("pool", 1, before); err != nil {
		return 0, err
	}
	if err := senderGossip.Exchange(context.Background(), loopback.server.Addr().String()); err != nil {
		return 0, err
	}
	start := client.Traffic()
	if _, err := senderTable.Offer("pool", 2, after); err != nil {
		return 0, err
	}
	if err := senderGossip.Exchange(context.Background(), loopback.server.Addr().String()); err != nil {
		return 0, err
	}
	end := client.Traffic()
	if receiverTable.Snapshot().Revision("pool") != 2 {
		return 0, errors.New("change did not arrive")
	}
	return float64(end.Sent + end.Received - start.Sent - start.Received), nil
}

// measureClaimWrites measures how many writes to the store the claims of calls with
// idempotency keys cause, by the rate of those calls.
func measureClaimWrites() Series {
	series := Series{Name: "store writes for claims, 8 ranges", SizeUnit: "claims/s offered", ValueUnit: "writes/s"}
	for _, rate := range []int{50, 500, 2000} {
		state := keyvalue.New(timekeeper.System{}, 1)
		state.SetFaults(keyvalue.Faults{Delay: 5 * time.Millisecond})
		claims := claimer.New(state.Store(), timekeeper.System{}, "service", claimer.Holder{Sidecar: "s", Incarnation: "i"}, claimer.DefaultOptions)
		const duration = time.Second
		done := make(chan struct{}, rate)
		for i := range rate {
			go func() {
				<-time.After(duration * time.Duration(i) / time.Duration(rate))
				key := fmt.Sprint(i)
				if _, err := claims.Take(context.Background(), key, "d", key); err == nil {
					claims.RecordOutcome(key, key, claimer.Answered, nil)
				}
				done <- struct{}{}
			}()
		}
		started := time.Now()
		for range rate {
			<-done
		}
		series.Points = append(series.Points, Point{float64(rate), float64(state.Counts().Writes) / time.Since(started).Seconds()})
		claims.Close()
	}
	return series
}
