package main

import (
	"context"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/settings"
)

// serveCommand runs a daemon.
type serveCommand struct {
	Settings string `help:"Settings file of the daemon." required:"" type:"path" placeholder:"FILE"`
}

// Run serves until the context ends.
func (command *serveCommand) Run(ctx context.Context, environment *environment) error {
	daemon, err := settings.Load(command.Settings)
	if err != nil {
		event.SettingsRefused.LogError(err, "File", command.Settings)
		return err
	}
	return environment.serve(ctx, daemon)
}
