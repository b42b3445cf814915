package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/callers"
)

// callersCommand sends requests while daemons fail and prints the report as JSON.
type callersCommand struct {
	Daemons  []string      `help:"Callers' addresses of the daemons." required:""`
	Services []string      `help:"Addresses of the service's stand-ins." required:""`
	Key      string        `help:"Key of the tenant." required:""`
	Model    string        `help:"Model field of chats." default:"planner"`
	Path     string        `help:"Path of calls." default:"/services/orders/confirm"`
	Rate     float64       `help:"Chats per second, and calls per second." default:"5"`
	Tokens   int           `help:"Tokens of each chat." default:"50"`
	Duration time.Duration `help:"Time during which requests begin." default:"30s"`
	Patience time.Duration `help:"Time after which a caller gives up." default:"40s"`
	Sending  time.Duration `help:"Bound of one sending." default:"10s"`
}

// Run sends the requests until the duration has passed or the context ends.
func (command *callersCommand) Run(ctx context.Context) error {
	report, err := callers.New(callers.Settings(*command), clock.RealClock{}).Run(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
