package commands

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/mustardfake/internal/mpload"
	"mustardpost.org/mustardfake/internal/mpslope"
)

func slopes() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how control-plane costs scale, on the running VMs of a sample",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`FOLDER` of the sample"},
			&cli.IntSliceFlag{Name: "pid", Required: true, Usage: "process `ID` of each VM, in the order of the settings files"},
			&cli.StringSliceFlag{Name: "only", Usage: "measure only idle, requests, tokens, claims, rows, leases or changes"},
			&cli.DurationFlag{Name: "span", Value: 6 * time.Second, Usage: "duration of each measurement"},
		},
		Action: func(c *cli.Context) error {
			cfg := mpslope.Config{PIDs: c.IntSlice("pid"), Only: c.StringSlice("only"), PointDuration: c.Duration("span"), Out: c.App.Writer}
			files, err := filepath.Glob(filepath.Join(c.String("dir"), "vm*.json"))
			if err != nil || len(files) != len(cfg.PIDs) {
				return mperror.Wrap(mperror.ErrInvalid, "found %d settings files for %d process IDs", len(files), len(cfg.PIDs))
			}
			for _, file := range files {
				s, err := mpsettings.Read(file)
				if err != nil {
					return err
				}
				cfg.VMs = append(cfg.VMs, s)
			}
			data, err := os.ReadFile(filepath.Join(c.String("dir"), "load.json"))
			if err != nil {
				return mperror.Wrap(mperror.ErrInvalid, "%v", err)
			}
			var p mpload.Profile
			if err := json.Unmarshal(data, &p); err != nil {
				return mperror.Wrap(mperror.ErrInvalid, "load.json: %v", err)
			}
			cfg.Profile = p
			return mpslope.New(c.Context, cfg).RunAll()
		},
	}
}
