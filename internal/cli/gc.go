package cli

import (
	"os"
	"runtime/debug"
)

// setGCPercent sets the garbage collection target unless the environment variable GOGC does.
func setGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
