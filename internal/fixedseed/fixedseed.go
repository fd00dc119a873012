// Package fixedseed makes the property tests of a package deterministic: it fixes their random seed and disables the
// files that store failing inputs. Import it for its side effects in a test file. The flag -rapid.seed overrides the
// seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the rapid flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
