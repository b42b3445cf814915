package main

import (
	"context"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/settings"
)

// serveCommand runs the daemon of an entry VM.
type serveCommand struct {
	Settings string `help:"Settings file of the daemon." required:"" type:"path" placeholder:"FILE"`
}

// Run reads the settings and serves until the context ends and the daemon has shut down.
func (command *serveCommand) Run(ctx context.Context, environment *environment) error {
	daemon, err := settings.Load(command.Settings)
	if err != nil {
		event.SettingsRefused.LogError(err, "File", command.Settings)
		return err
	}
	return environment.serve(ctx, daemon)
}
