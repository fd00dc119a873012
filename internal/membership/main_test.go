package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests so that failures are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	goleak.VerifyTestMain(m)
}
