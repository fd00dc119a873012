package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/settings"
)

type checkCommand struct {
	File string `arg:"" help:"TOML file with the settings of a node or with a bundle."`
}

// Run prints each fault of the file with its line, key and allowed values.
func (c *checkCommand) Run(o output) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	if err := checkFile(o, c.File, data); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s: ok\n", c.File)
	return nil
}

func checkFile(o output, path string, data []byte) error {
	if isBundle(data) {
		_, faults := bundle.Parse(path, data)
		return report(o, faults)
	}
	_, faults := settings.Parse(path, data)
	return report(o, faults)
}

// isBundle reports whether TOML text holds a bundle: one of its top-level keys exists in bundles only.
func isBundle(data []byte) bool {
	top := map[string]any{}
	if toml.Unmarshal(data, &top) != nil {
		return false
	}
	for _, key := range []string{"version", "services", "routes", "policy"} {
		if _, ok := top[key]; ok {
			return true
		}
	}
	return false
}

// report prints faults, one a line, and returns errReported when there are any.
func report[F error](o output, faults []F) error {
	for _, f := range faults {
		fmt.Fprintln(o.err, f.Error())
	}
	if len(faults) > 0 {
		return errReported
	}
	return nil
}

// loadSettings reads a settings file and prints its faults.
func loadSettings(o output, path string) (settings.Settings, error) {
	s, faults, err := settings.Load(path)
	if err != nil {
		return s, err
	}
	return s, report(o, faults)
}
