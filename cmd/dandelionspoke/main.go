// Command dandelionspoke runs a node and the tools around it.
package main

import (
	"os"

	"dandelionspoke/internal/cli"

	_ "dandelionspoke/platform" // registers the adapter "prepared"
)

// linkedToLibc exists only in builds with cgo; a build without it fails here.
const _ = linkedToLibc

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
