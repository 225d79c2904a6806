// Command reviewkit runs the cases 6 to 10 of the review: it starts gateways as the deploy file says, plays clients,
// engines and the name service on loopback, and judges what clients have seen. Each case is one subcommand, and
// review/N/run.sh calls it.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// errBroken is the result of a case that has found its rule broken. All other errors mean that it could not run.
var errBroken = errors.New("the rule was broken")

// cases are the cases by the name of their subcommand. The file of each case adds its own.
var cases = map[string]func(*run) error{}

func main() {
	os.Exit(runCase(os.Args[1:]))
}

// runCase runs the case with the given name, and returns the exit code.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE RECORD")
		return exitNotRun
	}
	r, err := newRun(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "reviewkit:", err)
		return exitNotRun
	}
	defer r.close()
	err = cases[args[0]](r)
	r.traceEngines()
	switch {
	case err == nil:
		r.note("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("%v", err)
		return exitBroken
	}
	r.note("not run: %v", err)
	return exitNotRun
}
