package command

import (
	"context"
	"fmt"

	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/sidecar"
	"github.com/urfave/cli/v3"
)

func sidecarSettings() []setting {
	return append(commonSettings(),
		setting{name: "service", usage: "service that the backend server belongs to", required: true, check: checkName},
		setting{name: "backend-server", usage: "name of the backend server in the service document", required: true, check: checkName},
		setting{name: "backend-address", usage: "IP address and TCP port of the backend server", required: true, check: checkAddress},
	)
}

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run the daemon beside a backend server",
		Flags: flags(sidecarSettings()),
		Action: func(_ context.Context, c *cli.Command) error {
			if err := checkSettings(c, sidecarSettings()); err != nil {
				return err
			}
			return runSidecar(c)
		},
	}
}

func runSidecar(c *cli.Command) error {
	p, err := newParts(c, false)
	if err != nil {
		return err
	}
	settings := sidecar.Settings{
		Service:        c.String("service"),
		BackendServer:  c.String("backend-server"),
		BackendAddress: c.String("backend-address"),
	}
	s, err := sidecar.New(settings, sidecar.Dependencies{Common: p.common, Store: p.store, TLS: p.bundle.ServerConfig(), Clock: p.clock, Logger: p.logger})
	if err != nil {
		return fmt.Errorf("start sidecar: %w", err)
	}
	operatorServer, err := daemon.NewOperatorServer(c.String("operator-address"), nil)
	if err != nil {
		return fmt.Errorf("start sidecar: %w", err)
	}
	p.logger.Info("sidecar: serving.", "backendServer", settings.BackendServer, "incarnation", p.common.Identity().Incarnation)
	return serve(c, p, operatorServer, s.Ready, s.Drain)
}
