// Command measure runs the measurements of the project that are not Go benchmarks: the simulation of keep-warm
// policies, that of the choice of replicas by pace, and the traffic of daemons that exchange the states of upstreams.
//
//	measure keepwarm [-seeds 101,102,103,104,105] [-days 14] [-learn 7]
//	measure pace
//	measure peers [-daemons 4,8,16,32,64] [-datacentres 1] [-ways mesh,digests,none] [-for 10s]
package main

import (
	"fmt"
	"os"

	"github.com/zeromicro/go-zero/core/logx"
)

func main() {
	logx.Disable()
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: measure keepwarm|pace|peers [flags]")
	}
	switch args[0] {
	case "keepwarm":
		return measureKeepWarm(args[1:], os.Stdout)
	case "pace":
		return measurePace(os.Stdout)
	case "peers":
		return measurePeers(args[1:], os.Stdout)
	default:
		return fmt.Errorf("unknown measurement %q", args[0])
	}
}
