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
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/cyclamenward/cyclamenward/tracker"
)

// newPool returns the replicas that an entry knows, each with a status.
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

// newRouter returns a router whose attempts are answered at once.
func newRouter(pool *router.Pool) *router.Router {
	options := router.Options{
		Zone: "zone-0", Region: "region-0", PrefillTokensPerSecond: 8000, DelayPerRunningRequest: time.Millisecond, RetryBudgetRatio: 0.1, RetryBudgetExtra: 20, RetryBudgetWindow: 10 * time.Second,
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

func chainOf(kilobytes int) ([]byte, []chainer.Hash) {
	prompt := bytes.Repeat([]byte("p"), kilobytes<<10)
	return prompt, chainer.Chain(nil, chainer.Scope{Workspace: "w", WeightsVersion: "v1"}, prompt)
}

func decisionProbe() Series {
	p := Series{Name: "one request through the routing core, 8 blocks, log line included", SizeUnit: "replicas", ValueUnit: "µs of processor"}
	_, chain := chainOf(32)
	prompt := &router.Prompt{Model: "model", Tokens: len(chain) * chainer.BlockTokens, MaxOutputTokens: 100, SharingUnknown: true}
	for _, block := range chain {
		prompt.Parts = append(prompt.Parts, router.PromptPart{ID: block.String(), Tokens: chainer.BlockTokens})
	}
	prompt.Parts = append(prompt.Parts, router.PromptPart{})
	catalog := router.NewCatalog(1, router.Limits{}, nil, []*router.Service{{Name: "service", Engine: &router.Engine{NoTransfers: true, ReuseWeight: 6}}}, nil)
	route := &router.Route{Name: "service", Kind: router.Streaming, MaxAttempts: 8, Resumable: true, Shares: []router.Share{{Service: "service", Weight: 1}}}
	for _, replicas := range []int{12, 120, 1200, 12_000} {
		r := newRouter(newPool(replicas))
		p.Points = append(p.Points, Point{float64(replicas), costOf(func() {
			now := time.Now()
			result := r.Begin(&router.Request{ID: "request", Catalog: catalog, Route: route, Workspace: &router.Workspace{Name: "w", Dedicated: true}, Arrived: now, Deadline: now.Add(time.Minute), Prompt: prompt, LastEventID: -1})
			if result.Stream != nil {
				result.Stream.Close()
			}
		})})
	}
	return p
}

func chainProbe() Series {
	p := Series{Name: "hash chain of a prompt", SizeUnit: "KB", ValueUnit: "µs of processor"}
	for _, kilobytes := range []int{4, 32, 128, 512} {
		prompt, chain := chainOf(kilobytes)
		p.Points = append(p.Points, Point{float64(kilobytes), costOf(func() {
			chain = chainer.Chain(chain[:0], chainer.Scope{Workspace: "w", WeightsVersion: "v1"}, prompt)
		})})
	}
	return p
}

func poolMemoryProbe() Series {
	p := Series{Name: "replicas known to an entry", SizeUnit: "replicas", ValueUnit: "bytes"}
	for _, replicas := range []int{1200, 4000, 12_000} {
		p.Points = append(p.Points, Point{float64(replicas), heapOf(func() any { return newPool(replicas) })})
	}
	return p
}

// rememberedParts is the most parts of prompts that a router remembers.
const rememberedParts = 40_000

func memoryProbe() Series {
	p := Series{Name: "parts of prompts remembered by an entry, with two holders each", SizeUnit: "parts", ValueUnit: "bytes"}
	for _, parts := range []int{4000, 12_000, rememberedParts} {
		pool := newPool(100)
		p.Points = append(p.Points, Point{float64(parts), heapOf(func() any {
			r := newRouter(pool)
			keys := make([]uint64, 1)
			for i := range parts {
				keys[0] = uint64(i)
				r.UpdateReplicaCache(fmt.Sprintf("10.0.0.%d:7443", i%100), keys, nil)
				r.UpdateReplicaCache(fmt.Sprintf("10.0.0.%d:7443", (i+1)%100), keys, nil)
			}
			return r
		})})
	}
	return p
}

func indexMemoryProbe() Series {
	p := Series{Name: "cached blocks known to a sidecar", SizeUnit: "blocks", ValueUnit: "bytes"}
	for _, blocks := range []int{2_000, 8_000, 24_000} {
		p.Points = append(p.Points, Point{float64(blocks), heapOf(func() any { return filledIndex(blocks) })})
	}
	return p
}

func filledIndex(blocks int) *tracker.Index {
	cacheIndex := tracker.New(1 << 20)
	cacheIndex.SetIncarnation("engine")
	list := make([]chainer.Hash, blocks)
	for i := range list {
		list[i] = chainer.Hash{byte(i), byte(i >> 8), byte(i >> 16)}
	}
	cacheIndex.Replace("engine", 0, list)
	return cacheIndex
}

func eventProbe() Series {
	p := Series{Name: "cache events at a sidecar", SizeUnit: "events", ValueUnit: "µs of processor"}
	for _, events := range []int{30, 100, 300} {
		cacheIndex := filledIndex(24_000)
		sequence := uint64(0)
		batch := make([]tracker.Event, events)
		p.Points = append(p.Points, Point{float64(events), costOf(func() {
			for i := range batch {
				sequence++
				batch[i] = tracker.Event{Sequence: sequence, Removed: sequence%2 == 0, Block: chainer.Hash{byte(sequence / 2), byte(sequence >> 9), 1}}
			}
			cacheIndex.Apply("engine", batch)
		})})
	}
	return p
}

// document returns a document with so many workspaces and backend servers.
func document(workspaces, servers int) []byte {
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

func documentProbes() []Series {
	size := Series{Name: "a service document", SizeUnit: "workspaces", ValueUnit: "bytes of text"}
	decode := Series{Name: "decoding a service document", SizeUnit: "workspaces", ValueUnit: "µs of processor"}
	held := Series{Name: "a document held by a daemon", SizeUnit: "workspaces", ValueUnit: "bytes"}
	for _, workspaces := range []int{100, 400, 1600} {
		text := document(workspaces, 12)
		size.Points = append(size.Points, Point{float64(workspaces), float64(len(text))})
		decode.Points = append(decode.Points, Point{float64(workspaces), costOf(func() {
			if _, err := decoder.Decode(text); err != nil {
				panic(err)
			}
		})})
		held.Points = append(held.Points, Point{float64(workspaces), heapOf(func() any {
			book := spreader.New(decoder.Decode)
			if _, err := book.Offer("pool", 1, bytes.Clone(text)); err != nil {
				panic(err)
			}
			return book
		})})
	}
	return []Series{size, decode, held}
}

// linkPair is a server and the material for clients on loopback.
type linkPair struct {
	server    *link.Server
	bundle    *keys.Bundle
	directory string
}

func newLinkPair(answer func(request *link.Request) *link.Frame) (*linkPair, error) {
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
	return &linkPair{server: server, bundle: bundle, directory: directory}, nil
}

func (p *linkPair) close() {
	p.server.Close()
	_ = os.RemoveAll(p.directory)
}

// exchange returns the bytes both ways and the processor time at both ends, in
// microseconds, of one exchange out of several on the same connection.
func (p *linkPair) exchange(config *tls.Config, request *link.Request, perConnection int) (traffic, cost float64, err error) {
	const connections = 40
	used := processorTime()
	total := link.Traffic{}
	for range connections {
		client, err := link.NewClient(config)
		if err != nil {
			return 0, 0, fmt.Errorf("make client: %w", err)
		}
		for range perConnection {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := client.RoundTrip(ctx, p.server.Addr().String(), request)
			cancel()
			if err != nil {
				client.Close()
				return 0, 0, fmt.Errorf("ask: %w", err)
			}
		}
		client.Close()
		one := client.Traffic()
		total.Sent += one.Sent
		total.Received += one.Received
	}
	count := float64(connections * perConnection)
	return float64(total.Sent+total.Received) / count, float64((processorTime() - used).Microseconds()) / count, nil
}

// exchangeProbes measures the exchange of digests at rest, by how many exchanges
// share one connection.
func exchangeProbes() ([]Series, error) {
	pair, err := newLinkPair(func(*link.Request) *link.Frame {
		return &link.Frame{Kind: link.SyncResult, Sync: &link.SyncState{Daemon: "daemon-00000", Digest: 1 << 60}}
	})
	if err != nil {
		return nil, err
	}
	defer pair.close()
	traffic := Series{Name: "exchange of digests at rest", SizeUnit: "connections per exchange", ValueUnit: "bytes both ways"}
	cost := Series{Name: "exchange of digests at rest", SizeUnit: "connections per exchange", ValueUnit: "µs of processor at both ends"}
	request := &link.Request{Kind: link.Sync, Sync: &link.SyncState{Daemon: "daemon-00001", Digest: 1 << 60}}
	for _, perConnection := range []int{1, 2, 4, 16} {
		bytesBoth, processor, err := pair.exchange(pair.bundle.ClientConfig(), request, perConnection)
		if err != nil {
			return nil, err
		}
		traffic.Points = append(traffic.Points, Point{1 / float64(perConnection), bytesBoth})
		cost.Points = append(cost.Points, Point{1 / float64(perConnection), processor})
	}
	return []Series{traffic, cost}, nil
}

// heldProbe measures the traffic of a link that stays open, by the exchanges a
// second on it. What is left at none is keep-alive.
func heldProbe() (Series, error) {
	p := Series{Name: "a link that stays open", SizeUnit: "exchanges/s on it", ValueUnit: "bytes/s both ways"}
	pair, err := newLinkPair(func(*link.Request) *link.Frame {
		return &link.Frame{Kind: link.SyncResult, Sync: &link.SyncState{Daemon: "daemon-00000", Digest: 1 << 60}}
	})
	if err != nil {
		return p, err
	}
	defer pair.close()
	type result struct {
		point Point
		err   error
	}
	results := make(chan result)
	periods := []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second}
	for _, period := range periods {
		go func() {
			rate, err := pair.held(period)
			results <- result{Point{1 / period.Seconds(), rate}, err}
		}()
	}
	for range periods {
		r := <-results
		if r.err != nil {
			return p, r.err
		}
		p.Points = append(p.Points, r.point)
	}
	slices.SortFunc(p.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return p, nil
}

// held exchanges on one link for some seconds and returns its bytes a second,
// without those of its set-up.
func (p *linkPair) held(period time.Duration) (float64, error) {
	const length = 9 * time.Second
	client, err := link.NewClient(p.bundle.ClientConfig())
	if err != nil {
		return 0, fmt.Errorf("make client: %w", err)
	}
	defer client.Close()
	ask := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.RoundTrip(ctx, p.server.Addr().String(), &link.Request{Kind: link.Sync, Sync: &link.SyncState{Daemon: "daemon-00001", Digest: 1 << 60}})
		return err
	}
	if err := ask(); err != nil {
		return 0, fmt.Errorf("ask: %w", err)
	}
	<-time.After(time.Second)
	before, began := client.Traffic(), time.Now()
	for time.Since(began) < length {
		<-time.After(period)
		if err := ask(); err != nil {
			return 0, fmt.Errorf("ask: %w", err)
		}
	}
	after := client.Traffic()
	return float64(after.Sent+after.Received-before.Sent-before.Received) / time.Since(began).Seconds(), nil
}

// changeProbe measures the exchanges that carry a change of one workspace in a
// document, on a link that is open.
func changeProbe() (Series, error) {
	p := Series{Name: "a changed document on an open link", SizeUnit: "KB of document", ValueUnit: "bytes both ways"}
	for _, workspaces := range []int{40, 160, 640} {
		before := document(workspaces, 12)
		after := bytes.Replace(before, []byte(`"workspace-00020"`), []byte(`"workspace-renamed"`), 1)
		traffic, err := changeTraffic(before, after)
		if err != nil {
			return p, err
		}
		p.Points = append(p.Points, Point{float64(len(after)) / 1024, traffic})
	}
	return p, nil
}

// changeTraffic lets one daemon tell another of a change and returns the bytes.
func changeTraffic(before, after []byte) (float64, error) {
	quiet := spreader.Options{ExchangeTimeout: time.Second, ExchangeInterval: time.Hour, RotationInterval: time.Hour, WatchRetryInterval: time.Hour}
	nobody := spreader.Peers{All: func() []string { return nil }}
	source := spreader.Source{}
	receiver := spreader.New(decoder.Decode)
	answering := spreader.NewGossip(receiver, timekeeper.System{}, spreader.Random(1), nobody, source, quiet, func(error) {})
	defer answering.Close()
	pair, err := newLinkPair(func(request *link.Request) *link.Frame {
		return &link.Frame{Kind: link.SyncResult, Sync: daemon.ToSyncMessage("b", answering.Answer(daemon.FromSyncMessage(request.Sync)))}
	})
	if err != nil {
		return 0, err
	}
	defer pair.close()
	client, err := link.NewClient(pair.bundle.ClientConfig())
	if err != nil {
		return 0, fmt.Errorf("make client: %w", err)
	}
	defer client.Close()
	peers := nobody
	peers.Exchange = func(ctx context.Context, peer string, state spreader.SyncState) (spreader.SyncState, error) {
		frame, err := client.RoundTrip(ctx, peer, &link.Request{Kind: link.Sync, Sync: daemon.ToSyncMessage("a", state)})
		if err != nil {
			return spreader.SyncState{}, err
		}
		return daemon.FromSyncMessage(frame.Sync), nil
	}
	sender := spreader.New(decoder.Decode)
	telling := spreader.NewGossip(sender, timekeeper.System{}, spreader.Random(2), peers, source, quiet, func(error) {})
	defer telling.Close()
	if _, err := sender.Offer("pool", 1, before); err != nil {
		return 0, err
	}
	if err := telling.Exchange(context.Background(), pair.server.Addr().String()); err != nil {
		return 0, err
	}
	start := client.Traffic()
	if _, err := sender.Offer("pool", 2, after); err != nil {
		return 0, err
	}
	if err := telling.Exchange(context.Background(), pair.server.Addr().String()); err != nil {
		return 0, err
	}
	end := client.Traffic()
	if receiver.Snapshot().Revision("pool") != 2 {
		return 0, errors.New("change did not arrive")
	}
	return float64(end.Sent + end.Received - start.Sent - start.Received), nil
}

// claimProbe measures the store's writes by the load of keyed calls.
func claimProbe() Series {
	p := Series{Name: "store writes for claims, 8 ranges", SizeUnit: "claims/s offered", ValueUnit: "writes/s"}
	for _, rate := range []int{50, 500, 2000} {
		state := keyvalue.New(timekeeper.System{}, 1)
		state.SetFaults(keyvalue.Faults{Delay: 5 * time.Millisecond})
		claims := claimer.New(state.Store(), timekeeper.System{}, "service", claimer.Holder{Sidecar: "s", Incarnation: "i"}, claimer.DefaultOptions)
		const length = time.Second
		done := make(chan struct{}, rate)
		for i := range rate {
			go func() {
				<-time.After(length * time.Duration(i) / time.Duration(rate))
				key := fmt.Sprint(i)
				if _, err := claims.Take(context.Background(), key, "d", key); err == nil {
					claims.RecordOutcome(key, key, claimer.Answered, nil)
				}
				done <- struct{}{}
			}()
		}
		began := time.Now()
		for range rate {
			<-done
		}
		p.Points = append(p.Points, Point{float64(rate), float64(state.Counts().Writes) / time.Since(began).Seconds()})
		claims.Close()
	}
	return p
}
