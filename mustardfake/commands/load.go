package commands

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/mustardfake/internal/mpload"
)

func load() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send the load described in FILE and verify the answers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Required: true, Usage: "JSON `FILE` with the load profile"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second; 0 uses the value in the file"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed; 0 uses the value in the file"},
			&cli.Float64Flag{Name: "least", Usage: "exit with an error if attainment is below `PERCENT`"},
			&cli.BoolFlag{Name: "seconds", Usage: "also print the attainment of each second"},
		},
		Action: runLoad,
	}
}

func runLoad(c *cli.Context) error {
	data, err := os.ReadFile(c.String("file"))
	if err != nil {
		return mperror.Wrap(mperror.ErrInvalid, "%v", err)
	}
	var p mpload.Profile
	if err := json.Unmarshal(data, &p); err != nil {
		return mperror.Wrap(mperror.ErrInvalid, "%s: %v", c.String("file"), err)
	}
	p.Duration = c.Duration("duration")
	if c.Float64("rate") > 0 {
		p.Rate = c.Float64("rate")
	}
	if c.Uint64("seed") > 0 {
		p.Seed = c.Uint64("seed")
	}
	s := mpload.Run(c.Context, p)
	if err := s.Print(c.App.Writer); err != nil {
		return err
	}
	if c.Bool("seconds") {
		for i, sec := range s.Seconds {
			fmt.Fprintf(c.App.Writer, "second %d: sent %d, in time %d\n", i, sec.Sent, sec.InTime)
		}
	}
	if len(s.Breaches) > 0 {
		return fmt.Errorf("%d breaches of invariants", len(s.Breaches))
	}
	if got := 100 * s.Total.Attainment(); got < c.Float64("least") {
		return fmt.Errorf("attainment %.2f%% is below the required %.2f%%", got, c.Float64("least"))
	}
	return nil
}
