// Command rows prints the capacity rows; see scripts/capacity.
package main

import (
	"fmt"
	"os"

	"dandelionspoke/internal/capacity"
)

func main() {
	if err := capacity.Run(os.Stdout, capacity.Default()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
