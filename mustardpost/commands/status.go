package commands

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

func newStatusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "print an overview of the deployment", Action: printStatus}
}

func printStatus(c *cli.Context) error {
	s, err := readStatus(c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c, s)
	}
	if _, err := fmt.Fprintf(c.App.Writer, "seen by VM %s at revision %d, lease %t\n", s.VM, s.Revision, s.Lease); err != nil {
		return err
	}
	if err := printTable(c, s, vmHeader, vmRows(s)); err != nil {
		return err
	}
	var rows [][]any
	for _, raw := range s.Voters {
		var v mpoperator.Voter
		if err := json.Unmarshal(raw, &v); err != nil {
			return mperror.Wrap(err, "decode voter status")
		}
		rows = append(rows, []any{v.VM, v.Status.Leading, v.Status.Term, v.Status.CommitIndex, len(v.Status.Members.Voters())})
	}
	return printTable(c, s, []any{"VOTER", "LEADS", "TERM", "COMMIT", "VOTERS"}, rows)
}

func newLimitFlag() cli.Flag {
	return &cli.IntFlag{Name: "limit", Value: 50, Usage: "print the newest `N` changes"}
}

func newAuditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "print the audit trail of changes", Flags: []cli.Flag{newLimitFlag()},
		Action: func(c *cli.Context) error { return printAudit(c, false) },
	}
}

// printAudit prints the newest changes, all or only those to the catalogue.
func printAudit(c *cli.Context, catalogueOnly bool) error {
	var all, kept []mpstate.AuditRecord
	if err := newClient(c).Get(c.Context, "/v1/audit?limit=5000", &all); err != nil {
		return err
	}
	for _, r := range all {
		if _, ok := r.Change.Op.(mpview.Edit); ok || !catalogueOnly {
			kept = append(kept, r)
		}
	}
	kept = kept[max(len(kept)-c.Int("limit"), 0):]
	var rows [][]any
	for _, r := range kept {
		at := time.UnixMilli(r.At).UTC().Format(time.RFC3339)
		rows = append(rows, []any{r.Revision, at, r.Who, r.ID, describe(r.Change.Op)})
	}
	return printTable(c, kept, []any{"REVISION", "AT", "WHO", "ID", "CHANGE"}, rows)
}

func describe(op mpview.Op) string {
	switch op := op.(type) {
	case mpview.Edit:
		return describeKeys(op.Edit.Keys())
	case mpview.Mark:
		if op.Out {
			return fmt.Sprintf("%s %s out", op.Target, op.Name)
		}
		return fmt.Sprintf("%s %s in", op.Target, op.Name)
	case mpview.Join:
		return fmt.Sprintf("vm %s up in %s, leaving %t", op.VM.Name, op.VM.DC, op.VM.Leaving)
	case mpview.Leave:
		return "vm " + strings.Join(op.VMs, " ") + " down"
	case mpview.Assign:
		return fmt.Sprintf("%d groups assigned", len(op.Owners))
	case mpview.Strike:
		return fmt.Sprintf("strike against %d requests", len(op.Fingerprints))
	case mpview.ClearStrikes:
		return fmt.Sprintf("strikes cleared of %d requests", len(op.Fingerprints))
	case mpview.Roll:
		return describeRollout(op.Rollout)
	case mpview.Note:
		return op.Kind + ": " + op.Text
	}
	return "unknown"
}

// describeRollout says what a step of a roll-out did, and why.
func describeRollout(r mprollout.Rollout) string {
	text := fmt.Sprintf("roll-out of %s to %s", r.Pool, r.Target)
	switch {
	case !r.Running():
		text += " " + string(r.State)
	case r.Phase == mprollout.PhaseShift:
		text += " shifted"
	default:
		text += fmt.Sprintf(" on trial with a share of %v", r.Share)
	}
	text += ", ordered by " + r.Who
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text
}

const maxShownKeys = 4

func describeKeys(keys []string) string {
	if len(keys) <= maxShownKeys {
		return "edit " + strings.Join(keys, " ")
	}
	return fmt.Sprintf("edit %s and %d more rows", strings.Join(keys[:maxShownKeys], " "), len(keys)-maxShownKeys)
}
