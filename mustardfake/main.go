// Command mustardfake provides fake upstreams, a load generator and measurement
// tools for mustardpost. Run it with --help for its commands.
package main

import (
	"fmt"
	"os"

	"mustardpost.org/core/common/mpexit"
	"mustardpost.org/mustardfake/commands"
)

func main() {
	err := commands.New().Run(os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mustardfake:", err)
	}
	os.Exit(mpexit.Code(err))
}
