// Command dandelionspoke runs a node and the tools around it.
package main

import (
	"os"

	"dandelionspoke/internal/cli"

	_ "dandelionspoke/platform" // registers the "prepared" adapter
)

// linkedToLibc is declared only in builds with cgo, so that a build without cgo fails to compile.
const _ = linkedToLibc

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
