// Package commands implements the subcommands of mustardpostd.
package commands

import "github.com/urfave/cli/v2"

// New returns the command-line application of mustardpostd.
func New() *cli.App {
	return &cli.App{
		Name:           "mustardpostd",
		Usage:          "serve callers on one VM of a mustardpost deployment",
		Commands:       []*cli.Command{serve(), check()},
		ExitErrHandler: func(*cli.Context, error) {},
		Description: "Exit codes: 0 shut down on request, 1 failed, 2 settings or arguments are invalid.\n" +
			"SIGTERM or SIGINT leaves the cluster gracefully, without cutting off requests in flight.\nA second signal stops the process at once.",
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` (JSON)", Required: true}
}
