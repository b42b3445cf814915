package main

import (
	"context"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/service"
)

// serviceCommand serves one plain service.
type serviceCommand struct {
	Listen string `help:"IP address and port." default:"127.0.0.1:9200"`
	Name   string `help:"Name of the VM." required:""`
}

// Run serves until the context ends.
func (command *serviceCommand) Run(ctx context.Context) error {
	server := service.New(command.Name, clock.RealClock{})
	return serve(ctx, "service "+command.Name, command.Listen, server)
}
