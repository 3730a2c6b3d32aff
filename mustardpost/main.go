// Command mustardpost is the operator's command-line client. Run it with --help for usage.
package main

import (
	"fmt"
	"os"

	"mustardpost.org/core/common/mpexit"
	"mustardpost.org/mustardpost/commands"
)

func main() {
	err := commands.New().Run(os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mustardpost:", err)
	}
	os.Exit(mpexit.Code(err))
}
