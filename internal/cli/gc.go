package cli

import (
	"os"
	"runtime/debug"
)

// setGCPercent sets the garbage collection target percentage unless the environment variable GOGC sets it.
func setGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
