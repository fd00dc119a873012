package cli

import (
	"context"
	"os"
	"time"

	"dandelionspoke/internal/sleep"
)

// fileCheckInterval is the time between two looks at the settings file, which may change without a signal.
const fileCheckInterval = time.Second

// watchFile calls changed after each change of the file until ctx ends or stop is called.
func watchFile(ctx context.Context, path string, changed func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := fileVersion(path)
		for sleep.For(ctx, fileCheckInterval) {
			if now := fileVersion(path); now != last && now != (version{}) {
				last = now
				changed()
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// version identifies the content of a file as far as its attributes tell.
type version struct {
	modified time.Time
	size     int64
}

// fileVersion returns the zero version while the file can't be read, as in the middle of a replacement.
func fileVersion(path string) version {
	info, err := os.Stat(path)
	if err != nil {
		return version{}
	}
	return version{modified: info.ModTime(), size: info.Size()}
}
