package commands

import (
	"github.com/urfave/cli/v2"

	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/process/mpowner"
	"mustardpost.org/core/version/mpview"
)

// newTargetCommand returns the command that lists the targets of one kind, takes them
// out of service and puts them back.
func newTargetCommand(target, description string) *cli.Command {
	setOut := func(out bool) cli.ActionFunc {
		return func(c *cli.Context) error {
			name, err := singleArg(c, "NAME")
			if err != nil {
				return err
			}
			m := mpview.Mark{Target: mpview.Target(target), Name: name, Out: out}
			return submitChange(c, mpoperator.ChangeRequest{Mark: &m})
		}
	}
	var extra []*cli.Command
	if target == "upstream" {
		extra = newOrderCommands()
	}
	list := map[string]cli.ActionFunc{"dc": listDCs, "vm": listVMs, "upstream": listUpstreams}[target]
	return &cli.Command{
		Name:  target,
		Usage: "take a given " + description + " out of service and put it back",
		Subcommands: append([]*cli.Command{
			{Name: "out", Usage: "take it out of service: it gets no new work", ArgsUsage: "NAME", Flags: []cli.Flag{newWaitFlag(), newIDFlag()}, Action: setOut(true)},
			{Name: "in", Usage: "put it back into service", ArgsUsage: "NAME", Flags: []cli.Flag{newWaitFlag(), newIDFlag()}, Action: setOut(false)},
			{Name: "list", Usage: "list all", Action: list},
		}, extra...),
	}
}

func readStatus(c *cli.Context) (mpoperator.Status, error) {
	var s mpoperator.Status
	return s, newClient(c).Get(c.Context, "/v1/status", &s)
}

func listDCs(c *cli.Context) error {
	s, err := readStatus(c)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, dc := range s.DCs {
		rows = append(rows, []any{dc.Name, dc.Out})
	}
	return printTable(c, s.DCs, []any{"DC", "OUT"}, rows)
}

func listVMs(c *cli.Context) error {
	s, err := readStatus(c)
	if err != nil {
		return err
	}
	return printTable(c, s.VMs, vmHeader, vmRows(s))
}

var vmHeader = []any{"VM", "DC", "CALLER", "SERVES", "LEAVING", "GROUPS"}

func vmRows(s mpoperator.Status) [][]any {
	var rows [][]any
	for _, vm := range s.VMs {
		rows = append(rows, []any{vm.VM.Name, vm.VM.DC, vm.VM.Address, vm.Serves, vm.VM.Leaving, vm.Groups})
	}
	return rows
}

func listUpstreams(c *cli.Context) error {
	var owners [][]mpowner.Status
	if err := newClient(c).Get(c.Context, "/v1/upstreams", &owners); err != nil {
		return err
	}
	var rows [][]any
	for _, groups := range owners {
		for _, g := range groups {
			for _, u := range g.Upstreams {
				rows = append(rows, []any{u.Name, g.Group, u.Held, u.Limit, u.Warm, u.Usable, !u.CircuitOpen})
			}
		}
	}
	return printTable(c, owners, []any{"UPSTREAM", "GROUP", "HELD", "LIMIT", "WARM", "IN", "UP"}, rows)
}
