// Command adapter runs the decision module on the simulator's wire: batches
// of events on standard input, one reply each on standard output.
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
