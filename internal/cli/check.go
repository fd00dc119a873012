package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/settings"
)

type checkCommand struct {
	File string `arg:"" help:"TOML file with the settings of a node."`
}

// Run prints each fault of the file with its line, key and allowed values.
func (c *checkCommand) Run(o output) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	_, faults := settings.Parse(c.File, data)
	if err := report(o, faults); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s: ok\n", c.File)
	return nil
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
