// Robindrum-sim runs balancers for the simulator: it reads batches of events from standard input and writes the balancers' actions to
// standard output.
package main

import (
	"fmt"
	"os"

	"robindrum/internal/simprotocol"
)

func main() {
	if err := simprotocol.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "robindrum-sim:", err)
		os.Exit(1)
	}
}
