package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/keys"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/peer/hosts"
	"github.com/cyclamenward/cyclamenward/peer/store"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/urfave/cli/v3"
)

// readyInterval is how often serve updates the readiness that the load balancer probes.
const readyInterval = 50 * time.Millisecond

// commonSettings returns the settings that entries and sidecars have in common.
func commonSettings() []setting {
	return []setting{
		{name: "name", usage: "name of this daemon, unique in the fleet", required: true, check: checkName},
		{name: "availability-zone", usage: "availability zone of this host", required: true, check: checkName},
		{name: "region", usage: "region of this host", required: true, check: checkName},
		{name: "link-address", usage: "IP address and UDP port for other daemons", required: true, check: checkAddress},
		{name: "operator-address", usage: "IP address and TCP port for health, metrics and operators", required: true, check: checkAddress},
		{name: "store-address", usage: "IP address and TCP port of the platform's key-value service", required: true, check: checkAddress},
		{name: "hosts-address", usage: "IP address and TCP port of the platform's list of hosts", check: checkAddress},
		{name: "peers", usage: "link addresses of some other daemons, separated by commas", check: checkAddresses},
		{name: "authority-file", usage: "PEM file with the certificate of the fleet's authority", required: true, check: checkReadable},
		{name: "certificate-file", usage: "PEM file with this daemon's certificate", required: true, check: checkReadable},
		{name: "key-file", usage: "PEM file with this daemon's private key", required: true, check: checkReadable},
		{name: "drain-limit", usage: "longest time to wait for running requests after SIGTERM", defaultValue: "10m", check: checkDuration},
		{name: "log-level", usage: "debug, info, warn or error", defaultValue: "info", check: checkOneOf("debug", "info", "warn", "error")},
		{name: "log-format", usage: "text or json", defaultValue: "text", check: checkOneOf("text", "json")},
	}
}

// parts are the components that entries and sidecars have in common.
type parts struct {
	common *daemon.Common
	bundle *keys.Bundle
	store  keeper.Store
	clock  timekeeper.Clock
	logger *log.Logger
}

func newLogger(c *cli.Command) *log.Logger {
	level, err := log.ParseLevel(c.String("log-level"))
	if err != nil {
		level = log.InfoLevel
	}
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level}
	if c.String("log-format") == "json" {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(os.Stderr, options)
}

// newParts builds the parts of a daemon. Only entries watch the store; sidecars receive
// its changes from other daemons.
func newParts(c *cli.Command, watchStore bool) (*parts, error) {
	logger := newLogger(c)
	bundle, err := keys.Load(c.String("authority-file"), c.String("certificate-file"), c.String("key-file"))
	if err != nil {
		return nil, fmt.Errorf("load keys: %w", err)
	}
	p := &parts{bundle: bundle, store: store.New(c.String("store-address")), clock: timekeeper.System{}, logger: logger}
	options := daemon.Options{
		Identity: daemon.Identity{
			Name:             c.String("name"),
			Incarnation:      daemon.NewIncarnation(),
			LinkAddress:      c.String("link-address"),
			AvailabilityZone: c.String("availability-zone"),
			Region:           c.String("region"),
		},
		SeedPeers: splitList(c.String("peers")),
		TLS:       bundle.ClientConfig(),
		Clock:     p.clock,
		Logger:    logger,
		Gossip:    spreader.LeafOptions,
	}
	if watchStore {
		options.Store = p.store
		options.Gossip = spreader.DefaultOptions
	}
	if address := c.String("hosts-address"); address != "" {
		options.ListHosts = hosts.New(address).List
	}
	if p.common, err = daemon.New(options); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	return p, nil
}

// serve runs a daemon until SIGTERM or SIGINT and then drains it, for at most the time
// in the setting drain-limit.
func serve(c *cli.Command, p *parts, operatorServer *daemon.OperatorServer, ready func() bool, drain func(context.Context) error) error {
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for signalCtx.Err() == nil {
		operatorServer.SetReady(ready())
		select {
		case <-signalCtx.Done():
		case <-p.clock.After(readyInterval):
		}
	}
	operatorServer.SetReady(false)
	drainCtx, cancel := context.WithTimeout(context.Background(), durationOf(c, "drain-limit"))
	defer cancel()
	err := drain(drainCtx)
	p.common.Close()
	if closeErr := operatorServer.Close(drainCtx); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	p.logger.Info("daemon: stopped.")
	return nil
}
