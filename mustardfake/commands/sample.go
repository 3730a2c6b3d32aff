package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/mustardfake/internal/mpfake"
	"mustardpost.org/mustardfake/internal/mpsample"
)

const firstPort = 21000

func sample() *cli.Command {
	return &cli.Command{
		Name:  "sample",
		Usage: "write a sample deployment into a folder: settings, catalogue, fakes and load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`FOLDER` to write"},
			&cli.StringFlag{Name: "name", Value: "demo", Usage: fmt.Sprintf("one of %v", mpsample.Names())},
			&cli.IntFlag{Name: "port", Value: firstPort, Usage: "first `PORT`"},
			&cli.BoolFlag{Name: "baseline", Usage: "select the baseline policies"},
			&cli.Float64Flag{Name: "slow", Value: 1, Usage: "make the engines this many times slower"},
			&cli.Float64Flag{Name: "spread", Usage: "make this part of all answers ten times slower"},
			&cli.Float64Flag{Name: "errors", Usage: "let a fifth of the upstreams fail this part of their answers"},
		},
		Action: func(c *cli.Context) error {
			faulty := 0
			change := func(f *mpfake.Config) {
				if f.Kind == mpcatalogue.Generate {
					f.Service *= c.Float64("slow")
				}
				f.Spread = c.Float64("spread")
				faulty++
				if faulty%5 == 0 {
					f.Errors = c.Float64("errors")
				}
			}
			l, err := mpsample.Write(c.String("dir"), c.String("name"), mpsample.Options{
				Port: c.Int("port"), Strict: true, Baseline: c.Bool("baseline"), Change: change,
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.App.Writer, "operator %s token %s control %s vms %d\n",
				l.VMs[0].OperatorAddress, mpsample.Token, l.Control, len(l.VMs))
			return err
		},
	}
}
