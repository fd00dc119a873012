// Package fixedseed makes the property tests of a package repeatable. Import it for its side effect from a
// test file; the flag -rapid.seed still overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
