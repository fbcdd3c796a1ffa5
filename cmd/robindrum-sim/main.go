// Robindrum-sim hosts balancers on the simulator's wire: batches on standard input, replies on standard output.
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
