package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/load"
)

// loadCommand runs the load generator and prints its report as JSON.
type loadCommand struct {
	Address        string        `help:"IP address and port of a daemon or an engine." required:""`
	Models         []string      `help:"Model fields, taken in turn." default:"m"`
	Version        string        `help:"Model version, for engines." default:"1"`
	Keys           []string      `help:"Keys of tenants, taken in turn."`
	Class          string        `help:"Class of the requests."`
	Rate           float64       `help:"Requests per second." default:"19"`
	Tokens         int           `help:"Tokens of each answer." default:"205"`
	Duration       time.Duration `help:"Time during which requests arrive." default:"10s"`
	Timeout        time.Duration `help:"Bound of one request." default:"60s"`
	InFlight       int           `help:"Largest number of requests in flight." default:"2048"`
	GoodFirstToken time.Duration `help:"Time to the first token within which an answer is good." default:"2s"`
	Seed           uint64        `help:"Seed of arrivals and prompts." default:"1"`
}

// Run sends the requests until the duration has passed or the context ends.
func (command *loadCommand) Run(ctx context.Context) error {
	report := load.New(load.Settings(*command), clock.RealClock{}).Run(ctx)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
