package cli

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
)

func readKey(path string) (bundle.SigningKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.SigningKey{}, err
	}
	key, err := bundle.ParseSigningKey(data)
	return key, errors.Wrap(err, path)
}

// readTrustedKeys reads public keys from files that hold one key per line.
func readTrustedKeys(paths []string) (bundle.TrustedKeys, error) {
	var lines []string
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			if line = strings.TrimSpace(line); line != "" {
				lines = append(lines, line)
			}
		}
	}
	return bundle.ParseTrustedKeys(lines)
}

func readEnvelope(path string) (*bundle.Envelope, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := bundle.DecodeEnvelope(data)
	return e, errors.Wrap(err, path)
}

func writeEnvelope(path string, e *bundle.Envelope) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, publicFileMode)
}
