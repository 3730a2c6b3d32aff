package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/version/mpstate"
)

func newOrderCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "order", Usage: "order an upstream to load or unload a model, or to change its role",
			ArgsUsage: "UPSTREAM load|unload|role NAME", Flags: []cli.Flag{newIDFlag()}, Action: submitOrder,
		},
		{Name: "orders", Usage: "list the latest order of each upstream", Action: listOrders},
	}
}

func submitOrder(c *cli.Context) error {
	if c.NArg() != 3 {
		return mperror.Wrap(mperror.ErrInvalid, "upstream order takes three arguments: UPSTREAM, load, unload or role, and NAME")
	}
	o := mpstate.Order{
		ID: c.String("id"), Upstream: c.Args().Get(0), Action: mpstate.Action(c.Args().Get(1)), Name: c.Args().Get(2),
	}
	if o.ID == "" {
		o.ID = mpid.New()
	}
	out, err := newClient(c).Order(c.Context, o)
	if err != nil {
		return mperror.Wrap(err, "order %s", o.ID)
	}
	if c.Bool("json") {
		return printJSON(c, out)
	}
	_, err = fmt.Fprintf(c.App.Writer, "accepted with fencing number %d\n", out.Fence)
	return err
}

func listOrders(c *cli.Context) error {
	var list []mpstate.OrderRecord
	if err := newClient(c).Get(c.Context, "/v1/orders", &list); err != nil {
		return err
	}
	var rows [][]any
	for _, o := range list {
		rows = append(rows, []any{o.Fence, o.Order.Upstream, o.Order.Action, o.Order.Name, o.State, o.Order.Who})
	}
	return printTable(c, list, []any{"FENCE", "UPSTREAM", "ACTION", "NAME", "STATE", "WHO"}, rows)
}
