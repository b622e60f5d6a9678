// Command drill hosts many instances of the decision module and connects them to the benchmark's line protocol: it
// reads events from standard input and writes actions to standard output. It makes no decisions of its own.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

func main() {
	debug.SetGCPercent(800) // the heap is small and long-lived; collecting it less often saves CPU time
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
