// Command adapter runs the decision module under the simulator: it reads batches of events from standard input and
// writes one reply per batch to standard output.
package main

import (
	"fmt"
	"os"

	"foxlane/internal/simprotocol"
)

func main() {
	if err := simprotocol.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
