package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"k8s.io/utils/clock"

	store "github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/standin/platform"
	"github.com/bronzestall/bronzestall/internal/standin/weights"
)

// platformCommand serves the platform and the weight store on one address.
type platformCommand struct {
	Listen         string  `help:"IP address and port." default:"127.0.0.1:9000"`
	VMs            string  `name:"vms" help:"JSON file with the VM list." type:"existingfile" optional:""`
	LoadsPerSecond float64 `help:"Loads per second that the weight store allows." default:"2.6"`
	LoadsAtOnce    int     `help:"Loads at once at full speed." default:"4"`
	BytesPerSecond int64   `help:"Bytes per second of one load at full speed." default:"4294967296"`
}

// Run serves until the context ends.
func (command *platformCommand) Run(ctx context.Context) error {
	clk := clock.RealClock{}
	server := platform.New(clk)
	if err := command.readVMs(server); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", server)
	mux.Handle("/weights/", weights.New(weights.Settings{
		LoadsPerSecond: command.LoadsPerSecond,
		LoadsAtOnce:    command.LoadsAtOnce,
		BytesPerSecond: command.BytesPerSecond,
	}, clk))
	return serve(ctx, "platform", command.Listen, mux)
}

func (command *platformCommand) readVMs(server *platform.Server) error {
	if command.VMs == "" {
		return nil
	}
	content, err := os.ReadFile(command.VMs)
	if err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	var list struct{ VMs []store.VM }
	if err := json.Unmarshal(content, &list); err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	server.SetVMs(list.VMs)
	return nil
}
