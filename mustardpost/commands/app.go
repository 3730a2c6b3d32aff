// Package commands implements the subcommands of mustardpost.
package commands

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/mustardpost/internal/mpclient"
)

const defaultWait = 10 * time.Second

// New returns the command-line application of mustardpost.
func New() *cli.App {
	return &cli.App{
		Name:                 "mustardpost",
		Usage:                "operate a mustardpost deployment",
		EnableBashCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Aliases: []string{"a"}, EnvVars: []string{"MUSTARDPOST_ADDRESS"}, Usage: "operator `ADDRESS` of any VM"},
			&cli.StringFlag{Name: "token", EnvVars: []string{"MUSTARDPOST_TOKEN"}, Usage: "operator's `TOKEN`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of tables"},
		},
		Commands: []*cli.Command{
			newCatalogueCommand(), newTargetCommand("dc", "data centre"), newTargetCommand("vm", "VM"), newTargetCommand("upstream", "upstream"),
			newStatusCommand(), newAuditCommand(), newExplainCommand(), newSettingsCommand(), newHashCommand(),
		},
		ExitErrHandler: func(*cli.Context, error) {},
		Description: "Exit codes: 0 done, 1 failed, 2 invalid, 3 conflict, 4 not found, 5 may have taken effect,\n" +
			"6 accepted but not in force everywhere within --wait, 7 denied.",
	}
}

func newClient(c *cli.Context) *mpclient.Client {
	return mpclient.New(mpclient.Config{Address: c.String("address"), Token: c.String("token")})
}

func newWaitFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: "wait", Value: defaultWait,
		Usage: "maximum time to wait until the change is in force everywhere; 0 does not wait",
	}
}

func newIDFlag() cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "`ID` of the change; reuse it to resend a change whose response was lost"}
}

// submitChange sends a change and prints the revision at which it was accepted.
// It returns ErrNotInForce if --wait is not 0 and the change is not in force in time.
func submitChange(c *cli.Context, change mpoperator.ChangeRequest) error {
	change.ID = c.String("id")
	if change.ID == "" {
		change.ID = mpid.New()
	}
	wait := c.Duration("wait")
	change.Wait = int(wait.Milliseconds())
	out, err := newClient(c).Change(c.Context, change)
	if err != nil {
		return mperror.Wrap(err, "change %s", change.ID)
	}
	if c.Bool("json") {
		err = printJSON(c, out)
	} else {
		_, err = fmt.Fprintf(c.App.Writer, "revision %d, in force everywhere: %t, took %d ms\n", out.Revision, out.InForce, out.Took)
	}
	if err == nil && wait > 0 && !out.InForce {
		return mperror.ErrNotInForce
	}
	return err
}

func printJSON(c *cli.Context, v any) error {
	e := json.NewEncoder(c.App.Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows as aligned columns, or v as JSON if --json is set.
func printTable(c *cli.Context, v any, header []any, rows [][]any) error {
	if c.Bool("json") {
		return printJSON(c, v)
	}
	w := tabwriter.NewWriter(c.App.Writer, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{header}, rows...) {
		for _, cell := range row {
			if _, err := fmt.Fprintf(w, "%v\t", cell); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	return w.Flush()
}

func singleArg(c *cli.Context, argName string) (string, error) {
	if c.NArg() != 1 {
		return "", mperror.Wrap(mperror.ErrInvalid, "%s takes exactly one argument, %s", c.Command.FullName(), argName)
	}
	return c.Args().First(), nil
}
