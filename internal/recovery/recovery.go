// Package recovery logs panics that are recovered at the boundary of a request, so that a fault in its handling ends only
// the request.
package recovery

import (
	"log/slog"
	"runtime/debug"
)

// maxStackBytes bounds the part of the stack that is logged.
const maxStackBytes = 4 << 10

// Log logs a recovered panic with the stack of the calling goroutine. Call it in the deferred function that recovered, so
// that the stack includes the frames that panicked. attrs are alternating keys and values; they identify the request.
func Log(logger *slog.Logger, value any, attrs ...any) {
	stack := debug.Stack()
	logger.Error("panic recovered", append([]any{"event", "panic_recovered", "panic", value,
		"stack", string(stack[:min(len(stack), maxStackBytes)])}, attrs...)...)
}
