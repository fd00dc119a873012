package cli

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap grow to five times the live data between collections. Live data is small, so the default of
// 100 collects often, and collections show in the p99 of requests.
const gcPercent = 400

// collectLessOften sets the garbage collection target unless the environment variable GOGC does.
func collectLessOften() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
