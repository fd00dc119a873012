package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module version, the revision when it is known, and the Go version.
func (*versionCommand) Run(o output) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(o.out, programName, "unknown version")
		return nil
	}
	fmt.Fprintf(o.out, "%s %s\n", programName, info.Main.Version)
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time", "vcs.modified", "GOOS", "GOARCH", "CGO_ENABLED":
			fmt.Fprintf(o.out, "%s=%s\n", s.Key, s.Value)
		}
	}
	fmt.Fprintf(o.out, "go=%s\n", info.GoVersion)
	return nil
}
