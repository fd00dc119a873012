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

// Run prints each error in the file with its line, key and allowed values.
func (c *checkCommand) Run(o output) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	if err := checkFile(o, c.File, data); err != nil {
		return err
	}
	fmt.Fprintf(o.stdout, "%s: ok\n", c.File)
	return nil
}

func checkFile(o output, path string, data []byte) error {
	if isBundle(data) {
		_, faults := bundle.Parse(path, data)
		return printFaults(o, faults)
	}
	_, faults := settings.Parse(path, data)
	return printFaults(o, faults)
}

// isBundle reports whether TOML text is a bundle, that is, has a top-level key that only bundles have.
func isBundle(data []byte) bool {
	topLevel := map[string]any{}
	if toml.Unmarshal(data, &topLevel) != nil {
		return false
	}
	for _, key := range []string{"version", "services", "routes", "policy"} {
		if _, ok := topLevel[key]; ok {
			return true
		}
	}
	return false
}

// printFaults prints the errors in a file, one per line, and returns errFaultsPrinted if there are any.
func printFaults[F error](o output, faults []F) error {
	for _, f := range faults {
		fmt.Fprintln(o.stderr, f.Error())
	}
	if len(faults) > 0 {
		return errFaultsPrinted
	}
	return nil
}

// loadSettings reads a settings file and prints the errors in it.
func loadSettings(o output, path string) (settings.Settings, error) {
	s, faults, err := settings.Load(path)
	if err != nil {
		return s, err
	}
	return s, printFaults(o, faults)
}
