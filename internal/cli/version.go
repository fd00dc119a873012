package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module version, the Go version and, if they are known, the revision, the target platform and whether
// cgo is enabled.
func (*versionCommand) Run(o output) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(o.stdout, programName, "unknown version")
		return nil
	}
	fmt.Fprintf(o.stdout, "%s %s\n", programName, info.Main.Version)
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time", "vcs.modified", "GOOS", "GOARCH", "CGO_ENABLED":
			fmt.Fprintf(o.stdout, "%s=%s\n", s.Key, s.Value)
		}
	}
	fmt.Fprintf(o.stdout, "go=%s\n", info.GoVersion)
	return nil
}
