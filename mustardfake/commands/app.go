// Package commands implements the subcommands of mustardfake.
package commands

import "github.com/urfave/cli/v2"

// New returns the mustardfake command-line application.
func New() *cli.App {
	return &cli.App{
		Name:           "mustardfake",
		Usage:          "fake upstreams and load generator for tests and the demo of mustardpost",
		Commands:       []*cli.Command{upstreams(), load(), sample(), cost(), slopes(), platform()},
		ExitErrHandler: func(*cli.Context, error) {},
		Description:    "Exit codes: 0 success, 1 failure or missed target, 2 invalid arguments.",
	}
}
