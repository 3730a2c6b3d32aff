package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/version/mpcatalogue"
)

func newCatalogueCommand() *cli.Command {
	return &cli.Command{
		Name:  "catalogue",
		Usage: "read and change the catalogue",
		Subcommands: []*cli.Command{
			{
				Name: "apply", Usage: "apply the rows of FILE that differ from the catalogue", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					newWaitFlag(), newIDFlag(), newPruneFlag(),
					&cli.Uint64Flag{Name: "base", Usage: "fail if a row changed after this `REVISION` (default: the current revision)"},
				},
				Action: applyCatalogue,
			},
			{Name: "get", Usage: "print the catalogue in force", Action: getCatalogue},
			{Name: "diff", Usage: "print the rows that apply would change", ArgsUsage: "FILE", Flags: []cli.Flag{newPruneFlag()}, Action: diffCatalogue},
			{
				Name: "history", Usage: "list the changes to the catalogue", Flags: []cli.Flag{newLimitFlag()},
				Action: func(c *cli.Context) error { return printAudit(c, true) },
			},
		},
	}
}

func newPruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "also delete rows that are not in FILE"}
}

func getCatalogue(c *cli.Context) error {
	var have mpoperator.Catalogue
	if err := newClient(c).Get(c.Context, "/v1/catalogue", &have); err != nil {
		return err
	}
	return printJSON(c, have.Catalogue)
}

// computeEdit returns the edit that turns the catalogue in force into that of FILE, and
// the revision that the edit is based on. Rows that are not in FILE are deleted only with
// --prune.
func computeEdit(c *cli.Context) (mpcatalogue.Edit, uint64, error) {
	file, err := singleArg(c, "FILE")
	if err != nil {
		return mpcatalogue.Edit{}, 0, err
	}
	want, err := readDocument(file)
	if err != nil {
		return mpcatalogue.Edit{}, 0, err
	}
	var have mpoperator.Catalogue
	if err := newClient(c).Get(c.Context, "/v1/catalogue", &have); err != nil {
		return mpcatalogue.Edit{}, 0, err
	}
	e := mpcatalogue.Diff(have.Catalogue, want)
	if !c.Bool("prune") {
		e.Drop = mpcatalogue.Names{}
	}
	return e, have.Revision, nil
}

func readDocument(file string) (mpcatalogue.Document, error) {
	var doc mpcatalogue.Document
	data, err := os.ReadFile(file)
	if err != nil {
		return doc, mperror.Wrap(mperror.ErrInvalid, "%v", err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return doc, mperror.Wrap(mperror.ErrInvalid, "%s: %v", file, err)
	}
	return doc, nil
}

func applyCatalogue(c *cli.Context) error {
	e, revision, err := computeEdit(c)
	if err != nil {
		return err
	}
	if len(e.Keys()) == 0 {
		_, err := fmt.Fprintf(c.App.Writer, "nothing to change at revision %d\n", revision)
		return err
	}
	if c.IsSet("base") {
		revision = c.Uint64("base")
	}
	return submitChange(c, mpoperator.ChangeRequest{BaseRevision: revision, Edit: &e})
}

func diffCatalogue(c *cli.Context) error {
	e, _, err := computeEdit(c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c, e)
	}
	for _, key := range e.Keys() {
		if _, err := fmt.Fprintln(c.App.Writer, key); err != nil {
			return err
		}
	}
	return nil
}
