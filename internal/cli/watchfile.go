package cli

import (
	"context"
	"os"
	"time"

	"dandelionspoke/internal/sleep"
)

// filePollInterval is the polling interval of the settings file, which may change without a SIGHUP.
const filePollInterval = time.Second

// watchFile polls the file and calls onChange after each change until ctx ends or stop is called.
func watchFile(ctx context.Context, path string, onChange func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		previous := statVersion(path)
		for sleep.For(ctx, filePollInterval) {
			if current := statVersion(path); current != previous && current != (fileVersion{}) {
				previous = current
				onChange()
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// fileVersion identifies the content of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statVersion returns the zero fileVersion if stat fails, as it may while the file is being replaced.
func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}
