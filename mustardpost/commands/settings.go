package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mpname"
	"mustardpost.org/core/process/mpsettings"
)

func newSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check the settings of a VM",
		Subcommands: []*cli.Command{{
			Name: "check", Usage: "validate a settings file", ArgsUsage: "FILE",
			Action: func(c *cli.Context) error {
				file, err := singleArg(c, "FILE")
				if err != nil {
					return err
				}
				if _, err := mpsettings.Read(file); err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.App.Writer, "settings are valid")
				return err
			},
		}},
	}
}

func newHashCommand() *cli.Command {
	return &cli.Command{
		Name: "hash", Usage: "print the hash of an account's key or an operator's token", ArgsUsage: "TEXT",
		Action: func(c *cli.Context) error {
			text, err := singleArg(c, "TEXT")
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.App.Writer, mpname.Hash(text))
			return err
		},
	}
}
