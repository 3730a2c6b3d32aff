package commands

import (
	"os"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mpsignal"
	"mustardpost.org/core/process/mpdaemon"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpsettings"
)

func newServeCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the server process of a VM until it is told to shut down",
		Flags: []cli.Flag{newSettingsFlag()},
		Action: func(c *cli.Context) error {
			s, err := mpsettings.Read(c.String("settings"))
			if err != nil {
				return err
			}
			return run(s)
		},
	}
}

func run(s mpsettings.Settings) error {
	ctx, leave, stop := mpsignal.ShutdownContexts()
	defer stop()
	logger := mplog.New(os.Stderr, s.LogLevel, "vm", s.VM, "dc", s.DC)
	return mpdaemon.New(ctx, mpdaemon.Config{Settings: s, Logger: logger}).Run(ctx, leave)
}
