// Package commands holds the subcommands of mustardfake.
package commands

import "github.com/urfave/cli/v2"

// New returns the command line of mustardfake.
func New() *cli.App {
	return &cli.App{
		Name:           "mustardfake",
		Usage:          "stand-ins and load for tests and the demo of mustardpost",
		Commands:       []*cli.Command{upstreams(), load(), sample(), cost(), slopes(), platform()},
		ExitErrHandler: func(*cli.Context, error) {},
		Description:    "Exit codes: 0 done, 1 something fell short, 2 invalid arguments.",
	}
}
