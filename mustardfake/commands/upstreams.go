package commands

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/mustardfake/internal/mpfake"
)

func upstreams() *cli.Command {
	return &cli.Command{
		Name:  "upstreams",
		Usage: "run the fake upstreams listed in FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Required: true, Usage: "JSON `FILE` with a list of fake upstreams"},
			&cli.StringFlag{Name: "control", Required: true, Usage: "`ADDRESS` of the control server, for the ledger and fault injection"},
		},
		Action: func(c *cli.Context) error {
			data, err := os.ReadFile(c.String("file"))
			if err != nil {
				return mperror.Wrap(mperror.ErrInvalid, "%v", err)
			}
			var configs []mpfake.Config
			if err := json.Unmarshal(data, &configs); err != nil {
				return mperror.Wrap(mperror.ErrInvalid, "%s: %v", c.String("file"), err)
			}
			fleet := mpfake.NewFleet(configs)
			if err := fleet.Start(); err != nil {
				return err
			}
			return http.ListenAndServe(c.String("control"), fleet.Handler())
		},
	}
}
