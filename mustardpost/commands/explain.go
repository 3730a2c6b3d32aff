package commands

import (
	"encoding/json"
	"io"
	"os"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mplog"
)

func explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the life of a request from the logs of the VMs",
		ArgsUsage: "ID FILE...",
		Description: "The lines of all VMs that touched the request, in order of time, with the calls that\n" +
			"made its pieces; what is missing is named as a gap. A FILE of - is the standard input.",
		Action: func(c *cli.Context) error {
			if c.NArg() < 2 {
				return mperror.Wrap(mperror.ErrInvalid, "want an id and one or more files")
			}
			return explainFrom(c, c.Args().First(), c.Args().Tail())
		},
	}
}

func explainFrom(c *cli.Context, id string, files []string) error {
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return mperror.Wrap(mperror.ErrInvalid, "log: %v", err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	s, err := mplog.Explain(id, logs...)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return mperror.Wrap(json.NewEncoder(c.App.Writer).Encode(s), "write")
	}
	return s.WriteText(c.App.Writer)
}
