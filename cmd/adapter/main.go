// Command adapter runs the decision module on the simulator's wire: batches
// of events on standard input, one reply each on standard output.
package main

import (
	"fmt"
	"os"

	"foxlane/internal/simwire"
)

func main() {
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
