// Command measure runs the measurements of the project that are no benchmarks.
//
//	measure keepwarm [-seeds 101,102,103,104,105] [-days 14] [-learn 7]
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: measure keepwarm [flags]")
	}
	switch args[0] {
	case "keepwarm":
		return measureKeepWarm(args[1:], os.Stdout)
	default:
		return fmt.Errorf("unknown measurement %q", args[0])
	}
}
