package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/daemon"
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := run(ctx, os.Args[1:], &environment{
		stdout:  os.Stdout,
		stderr:  os.Stderr,
		clock:   clock.RealClock{},
		connect: connect,
		serve:   daemon.Run,
	})
	klog.Flush()
	os.Exit(int(code))
}

// environment holds what the commands use of the process, so that tests can replace it.
type environment struct {
	stdout, stderr io.Writer
	clock          clock.Clock
	// connect returns a client of the platform in the settings.
	connect func(settings.Platform, clock.Clock) store
	// serve runs a daemon until the context ends and the daemon has shut down.
	serve func(context.Context, settings.Settings) error
}

// store is the part of the platform that the commands on notes use: tables, objects and the VM list.
type store interface {
	datastore.Tables
	datastore.Objects
	datastore.VMs
}

func connect(platform settings.Platform, clock clock.Clock) store {
	return datastore.NewClient(datastore.ClientSettings{Address: platform.Address, Timeout: platform.Timeout}, clock)
}
