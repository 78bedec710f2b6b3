package command

import (
	"context"
	"fmt"

	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/daemon/apportioner"
	"github.com/cyclamenward/cyclamenward/internal/entry"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/urfave/cli/v3"
)

func entrySettings() []setting {
	return append(commonSettings(),
		setting{name: "caller-address", usage: "IP address and TCP port for callers", required: true, check: checkAddress},
		setting{name: "operator-token-hash", usage: "SHA-256 of the operators' token in hexadecimal; without it the operator API refuses all", check: checkHash},
		setting{name: "paced-services", usage: "services whose backend servers get work at a pace found from their answers after a start or recovery, separated by commas; * for all", check: checkServices},
		setting{name: "outbound-megabytes", usage: "memory for what callers have not taken yet of their answers; beyond it a caller that takes nothing for 5s is disconnected; 0: only that of each caller is bounded", defaultValue: "0", check: checkCount},
		setting{name: "settle", usage: "time to go on serving after SIGTERM while the balancer notices", defaultValue: "3s", check: checkDuration},
	)
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon that callers talk to",
		Flags: flags(entrySettings()),
		Action: func(_ context.Context, c *cli.Command) error {
			if err := checkSettings(c, entrySettings()); err != nil {
				return err
			}
			return runEntry(c)
		},
	}
}

func runEntry(c *cli.Command) error {
	p, err := newParts(c, true)
	if err != nil {
		return err
	}
	connections, err := apportioner.DivideOwn(0)
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	settings := entry.Settings{
		Connections:       connections.Callers,
		CallerAddress:     c.String("caller-address"),
		OperatorTokenHash: c.String("operator-token-hash"),
		ShutdownDelay:     durationOf(c, "settle"),
		PacedServices:     splitList(c.String("paced-services")),
		OutboundBytes:     countOf(c, "outbound-megabytes") << 20,
	}
	e, err := entry.New(settings, entry.Dependencies{
		Common:   p.common,
		Register: registrar.New(p.store, p.clock),
		TLS:      p.bundle.ServerConfig(),
		Clock:    p.clock,
		Logger:   p.logger,
	})
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	operatorServer, err := daemon.NewOperatorServer(c.String("operator-address"), e.HandleOperator)
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	p.logger.Info("entry: serving.", "callers", e.CallerAddr(), "incarnation", p.common.Identity().Incarnation)
	return serve(c, p, operatorServer, e.Ready, e.Drain)
}
