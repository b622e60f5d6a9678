// Package rapidseed has the property tests of a package draw the same histories every time, so that they give the same verdict
// every time. A test imports it for that alone:
//
//	import _ "linenwheel.dev/linenwheel/internal/rapidseed"
//
// Other histories are drawn with the flags -rapid.seed and -rapid.checks.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // which defines the flags before they are set here
)

func init() {
	_ = flag.Set("rapid.seed", "1") // a flag on the command line comes later and goes before it
	_ = flag.Set("rapid.nofailfile", "true")
}
