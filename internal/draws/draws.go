// Package draws seeds the property tests of the packages whose tests import it, so
// that the same code has the same verdict each time. Another seed is given on the
// command line: go test ./internal/queue -rapid.seed=7.
package draws

import (
	"flag"

	// The package registers the flag that is set below.
	_ "pgregory.net/rapid"
)

// seed is that of the measurements in docs/design.
const seed = "9165"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
