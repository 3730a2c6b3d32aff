package commands

import (
	"encoding/json"
	"io"
	"os"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mplog"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "trace a request through the logs of the VMs",
		ArgsUsage: "ID FILE...",
		Description: "Prints the log lines of all VMs that handled the request in order of time, with the calls\n" +
			"that executed its pieces. Missing lines are reported as gaps. FILE - reads standard input.",
		Action: func(c *cli.Context) error {
			if c.NArg() < 2 {
				return mperror.Wrap(mperror.ErrInvalid, "explain takes an ID and one or more FILE arguments")
			}
			return printTimeline(c, c.Args().First(), c.Args().Tail())
		},
	}
}

func printTimeline(c *cli.Context, id string, files []string) error {
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return mperror.Wrap(mperror.ErrInvalid, "open log: %v", err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	timeline, err := mplog.Explain(id, logs...)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return mperror.Wrap(json.NewEncoder(c.App.Writer).Encode(timeline), "write")
	}
	return timeline.WriteText(c.App.Writer)
}
