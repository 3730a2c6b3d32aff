package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/mustardfake/internal/mpfake"
	"mustardpost.org/mustardfake/internal/mpsample"
)

const defaultPort = 21000

func sample() *cli.Command {
	return &cli.Command{
		Name:  "sample",
		Usage: "write a sample deployment to a folder: settings, catalogue, fake upstreams and load profile",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`FOLDER` to write to"},
			&cli.StringFlag{Name: "name", Value: "demo", Usage: fmt.Sprintf("sample to write, one of %v", mpsample.Names())},
			&cli.IntFlag{Name: "port", Value: defaultPort, Usage: "first `PORT` to use"},
			&cli.BoolFlag{Name: "baseline", Usage: "select the baseline policies"},
			&cli.Float64Flag{Name: "slow", Value: 1, Usage: "factor by which the engines are slowed down"},
			&cli.Float64Flag{Name: "spread", Usage: "fraction of all answers that take ten times longer"},
			&cli.Float64Flag{Name: "errors", Usage: "fraction of answers that fail at every fifth upstream"},
		},
		Action: func(c *cli.Context) error {
			configured := 0
			editFake := func(f *mpfake.Config) {
				if f.Kind == mpcatalogue.Generate {
					f.ServiceMS *= c.Float64("slow")
				}
				f.SlowRatio = c.Float64("spread")
				configured++
				if configured%5 == 0 {
					f.ErrorRatio = c.Float64("errors")
				}
			}
			l, err := mpsample.Write(c.String("dir"), c.String("name"), mpsample.Options{
				Port: c.Int("port"), Strict: true, Baseline: c.Bool("baseline"), EditFake: editFake,
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.App.Writer, "operator %s token %s control %s vms %d\n",
				l.VMs[0].OperatorAddress, mpsample.OperatorToken, l.ControlAddress, len(l.VMs))
			return err
		},
	}
}
