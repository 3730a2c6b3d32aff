package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/process/mpsettings"
)

func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate a settings file without starting the process",
		Flags: []cli.Flag{newSettingsFlag()},
		Action: func(c *cli.Context) error {
			if _, err := mpsettings.Read(c.String("settings")); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.App.Writer, "settings are valid")
			return err
		},
	}
}
