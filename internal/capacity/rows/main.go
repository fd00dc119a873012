// Command rows prints the capacity rows; see scripts/capacity.
package main

import (
	"fmt"
	"os"

	"dandelionspoke/internal/capacity"
)

func main() {
	options := capacity.Default()
	// With the argument "node" only the rows of a single node are printed, which take under a minute.
	if len(os.Args) > 1 && os.Args[1] == "node" {
		options.FleetSizes, options.Engines, options.TableSizes = nil, 0, nil
	}
	if err := capacity.Run(os.Stdout, options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
