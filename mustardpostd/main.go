// Command mustardpostd is the server process of a VM. Run it with --help for usage.
package main

import (
	"fmt"
	"os"

	"mustardpost.org/core/common/mpexit"
	"mustardpost.org/mustardpostd/commands"
)

func main() {
	err := commands.New().Run(os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mustardpostd:", err)
	}
	os.Exit(mpexit.Code(err))
}
