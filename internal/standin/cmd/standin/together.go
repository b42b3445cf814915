package main

import (
	"context"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// togetherCommand runs several commands in one process.
type togetherCommand struct {
	Roles []string `arg:"" help:"Command line of each role, such as 'platform --listen 127.0.0.1:9000'."`
}

// Run runs the commands until the context ends or one of them fails.
func (command *togetherCommand) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, role := range command.Roles {
		run, err := newParser(ctx).Parse(strings.Fields(role))
		if err != nil {
			return fmt.Errorf("role %q: %w", role, err)
		}
		group.Go(func() error { return run.Run() })
	}
	return group.Wait()
}
