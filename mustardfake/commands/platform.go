package commands

import (
	"net/http"

	"github.com/urfave/cli/v2"
)

func platform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the platform's list of VMs from FILE, which is read again for each request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Required: true, Usage: "JSON `FILE`: [{\"vm\":\"...\",\"state\":\"live|leaving\"}]"},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` to listen on"},
		},
		Action: func(c *cli.Context) error {
			file := c.String("file")
			return http.ListenAndServe(c.String("listen"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				http.ServeFile(w, r, file)
			}))
		},
	}
}
