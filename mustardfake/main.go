// Command mustardfake is documented by its own help.
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
