// Package commands implements the subcommands of mustardpostd.
package commands

import "github.com/urfave/cli/v2"

// New returns the command-line application of mustardpostd.
func New() *cli.App {
	return &cli.App{
		Name:           "mustardpostd",
		Usage:          "run mustardpost on one VM of a deployment",
		Commands:       []*cli.Command{newServeCommand(), newCheckCommand()},
		ExitErrHandler: func(*cli.Context, error) {},
		Description: "Exit codes: 0 graceful shutdown, 1 failure, 2 invalid settings or arguments.\n" +
			"SIGTERM or SIGINT: shut down gracefully, without interrupting requests.\nA second signal stops the process at once.",
	}
}

func newSettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` (JSON)", Required: true}
}
