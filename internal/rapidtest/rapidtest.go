// Package rapidtest owns the configuration of property-based tests. Only tests import it.
package rapidtest

import "flag"

// FixSeed sets a fixed seed for pgregory.net/rapid unless the command line sets one, so that the result of a test run
// is reproducible. It also disables fail files. It parses the flags, and must be called first in TestMain.
func FixSeed() {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // fails only for a malformed value
		}
	}
}
