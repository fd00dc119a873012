// Package hangup catches SIGHUP from the first moments of a process that runs a node. The signal says that the settings have
// changed, which may happen while the node starts; by default it would end the process. The package imports nothing but
// the standard library, so that it is initialized before the packages of other modules, which takes several milliseconds.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// signals buffers one signal: several mean the same.
var signals = make(chan os.Signal, 1)

func init() {
	if slices.Contains(os.Args[1:], "node") {
		Catch()
	}
}

// Catch keeps SIGHUP from ending the process and returns the channel of the signals received since the first call, or since
// the start of a process that runs a node.
func Catch() <-chan os.Signal {
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Release restores the default handling of SIGHUP.
func Release() { signal.Stop(signals) }
