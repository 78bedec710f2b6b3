package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/keys"
	"github.com/urfave/cli/v3"
)

func keysCommand() *cli.Command {
	directory := &cli.StringFlag{Name: "directory", Usage: "where the files are written", Value: "."}
	return &cli.Command{
		Name:  "keys",
		Usage: "make keys for trials; bring your own authority for production",
		Commands: []*cli.Command{
			{
				Name:  "authority",
				Usage: "make an authority: authority.pem and authority-key.pem",
				Flags: []cli.Flag{directory},
				Action: func(_ context.Context, c *cli.Command) error {
					return keys.MakeAuthority(c.String("directory"))
				},
			},
			{
				Name:      "daemon",
				Usage:     "make a certificate signed by the authority in the same directory",
				ArgsUsage: "NAME",
				Flags:     []cli.Flag{directory},
				Action: func(_ context.Context, c *cli.Command) error {
					if err := checkName(c.Args().First()); err != nil {
						return err
					}
					return keys.MakeDaemonCertificate(c.String("directory"), c.Args().First())
				},
			},
			{
				Name:      "hash",
				Usage:     "print the SHA-256 under which a bearer key stands in a document",
				ArgsUsage: "KEY",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().First() == "" {
						return errors.New("name a key")
					}
					printLine(c, "%s", decoder.HashKey(c.Args().First()))
					return nil
				},
			},
			{
				Name:  "generate",
				Usage: "print a new bearer key and its hash",
				Action: func(_ context.Context, c *cli.Command) error {
					var raw [24]byte
					if _, err := rand.Read(raw[:]); err != nil {
						return fmt.Errorf("read random bytes: %w", err)
					}
					key := "cw-" + hex.EncodeToString(raw[:])
					printLine(c, "key:  %s\nhash: %s", key, decoder.HashKey(key))
					return nil
				},
			},
		},
	}
}
