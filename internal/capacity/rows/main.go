// Command rows prints the measurements of package capacity as rows. scripts/capacity runs it.
package main

import (
	"fmt"
	"os"

	"dandelionspoke/internal/capacity"
)

func main() {
	options := capacity.Default()
	// The argument "node" leaves out fleets, engines and tables. The rest takes little more than a minute.
	if len(os.Args) > 1 && os.Args[1] == "node" {
		options.FleetSizes, options.Engines, options.TableSizes = nil, 0, nil
	}
	if err := capacity.Run(os.Stdout, options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
