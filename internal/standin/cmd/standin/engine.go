package main

import (
	"context"
	"net/http"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
)

// engineCommand serves one model engine.
type engineCommand struct {
	Listen        string        `help:"IP address and port." default:"127.0.0.1:9100"`
	Name          string        `help:"Name of the VM." required:""`
	Release       string        `help:"Release that the engine names." default:"1"`
	Capacity      size          `help:"Accelerator memory." default:"80GiB"`
	ChecksFencing bool          `help:"Refuse orders with an old fencing number or for another boot."`
	WeightStore   string        `help:"IP address and port of the weight store; without one, transfers take no time."`
	MemorySpeed   size          `help:"Bytes per second of a load from main memory." default:"40GiB"`
	DiskSpeed     size          `help:"Bytes per second of a load from disk." default:"8GiB"`
	Batch         int           `help:"Largest number of requests of one replica that run at once." default:"32"`
	Waiting       int           `help:"Largest number of requests before the batch of one replica." default:"64"`
	FirstToken    time.Duration `help:"Time to the first token." default:"50ms"`
	TokenEvery    time.Duration `help:"Time between tokens." default:"10ms"`
	Heartbeat     time.Duration `help:"Silence after which a heartbeat is sent." default:"250ms"`
	Loaded        []string      `help:"Models that are loaded from the start, as model@version." placeholder:"MODEL@VERSION"`
}

// Run serves until the context ends.
func (command *engineCommand) Run(ctx context.Context) error {
	server := engine.New(engine.Settings{
		Name:          command.Name,
		Release:       command.Release,
		ChecksFencing: command.ChecksFencing,
		Capacity:      int64(command.Capacity),
		MemorySpeed:   int64(command.MemorySpeed),
		DiskSpeed:     int64(command.DiskSpeed),
		Batch:         command.Batch,
		Waiting:       command.Waiting,
		FirstToken:    command.FirstToken,
		TokenEvery:    command.TokenEvery,
		Heartbeat:     command.Heartbeat,
		Fetch:         fetcher(command.WeightStore),
	}, clock.RealClock{})
	defer server.Close()
	for _, loaded := range command.Loaded {
		server.AddReplica(loaded)
	}
	return serve(ctx, "engine "+command.Name, command.Listen, http.Handler(server))
}
