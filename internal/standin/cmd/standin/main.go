// Command standin serves the simulations of the external systems of bronzestall, and runs load generators against
// them. It is not part of a release.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands defines the commands and flags of the command line.
type commands struct {
	Platform platformCommand `cmd:"" help:"Serve the platform (tables, objects, VM list) and the weight store."`
	Engine   engineCommand   `cmd:"" help:"Serve a model engine."`
	Service  serviceCommand  `cmd:"" help:"Serve a plain service."`
	Together togetherCommand `cmd:"" help:"Serve several roles in one process."`
	Load     loadCommand     `cmd:"" help:"Offer a load of streamed chat requests and print a report."`
	Callers  callersCommand  `cmd:"" help:"Send requests through failing daemons and judge every end."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := newParser(ctx)
	run, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	run.FatalIfErrorf(run.Run())
}

// newParser returns the parser of one command line. Its commands run until the context ends.
func newParser(ctx context.Context) *kong.Kong {
	return kong.Must(&commands{},
		kong.Name("standin"),
		kong.Description("Stand-ins for the outside systems of bronzestall, for tests and trials."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
}
