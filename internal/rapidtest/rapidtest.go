// Package rapidtest configures property-based tests. It is imported by tests
// only.
package rapidtest

import "flag"

// FixSeed makes the random cases of pgregory.net/rapid the same in each run, unless the command line gives a seed: a
// program is then accepted or not whatever the time of day. It parses the flags; call it first in TestMain.
func FixSeed() {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // only a malformed value is an error
		}
	}
}
