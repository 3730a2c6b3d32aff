// Command mustardpostd is documented by its own help.
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
