package commands

import (
	"github.com/urfave/cli/v2"

	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/process/mpowner"
	"mustardpost.org/core/version/mpview"
)

// marks returns the command that takes targets of one kind out and in.
func marks(target, what string) *cli.Command {
	mark := func(out bool) cli.ActionFunc {
		return func(c *cli.Context) error {
			name, err := oneArg(c, "NAME")
			if err != nil {
				return err
			}
			m := mpview.Mark{Target: mpview.Target(target), Name: name, Out: out}
			return send(c, mpoperator.ChangeRequest{Mark: &m})
		}
	}
	var more []*cli.Command
	if target == "upstream" {
		more = orderCommands()
	}
	list := map[string]cli.ActionFunc{"dc": listDCs, "vm": listVMs, "upstream": listUpstreams}[target]
	return &cli.Command{
		Name:  target,
		Usage: "take a " + what + " out of service and back in",
		Subcommands: append([]*cli.Command{
			{Name: "out", Usage: "give it no new work", ArgsUsage: "NAME", Flags: []cli.Flag{waitFlag(), idFlag()}, Action: mark(true)},
			{Name: "in", Usage: "take it back into service", ArgsUsage: "NAME", Flags: []cli.Flag{waitFlag(), idFlag()}, Action: mark(false)},
			{Name: "list", Usage: "list all", Action: list},
		}, more...),
	}
}

func readStatus(c *cli.Context) (mpoperator.Status, error) {
	var s mpoperator.Status
	return s, client(c).Get(c.Context, "/v1/status", &s)
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
	return table(c, s.DCs, []any{"DC", "OUT"}, rows)
}

func listVMs(c *cli.Context) error {
	s, err := readStatus(c)
	if err != nil {
		return err
	}
	return table(c, s.VMs, vmHead, vmRows(s))
}

var vmHead = []any{"VM", "DC", "CALLER", "SERVES", "LEAVING", "GROUPS"}

func vmRows(s mpoperator.Status) [][]any {
	var rows [][]any
	for _, vm := range s.VMs {
		rows = append(rows, []any{vm.VM.Name, vm.VM.DC, vm.VM.Address, vm.Serves, vm.VM.Leaving, vm.Groups})
	}
	return rows
}

func listUpstreams(c *cli.Context) error {
	var owners [][]mpowner.Status
	if err := client(c).Get(c.Context, "/v1/upstreams", &owners); err != nil {
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
	return table(c, owners, []any{"UPSTREAM", "GROUP", "HELD", "LIMIT", "WARM", "IN", "UP"}, rows)
}
