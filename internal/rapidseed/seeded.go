// Package rapidseed fixes the seed of a package's property tests, so that every run generates the same inputs and has
// the same result. A test imports it only for this side effect:
//
//	import _ "linenwheel.dev/linenwheel/internal/rapidseed"
//
// The flags -rapid.seed and -rapid.checks select other inputs.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags before they are set here
)

func init() {
	_ = flag.Set("rapid.seed", "1") // a flag on the command line is parsed later and overrides this value
	_ = flag.Set("rapid.nofailfile", "true")
}
