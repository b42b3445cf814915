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

// environment is what the commands need of the process.
type environment struct {
	stdout, stderr io.Writer
	clock          clock.Clock
	// connect reaches the platform of the settings.
	connect func(settings.Platform, clock.Clock) store
	// serve runs a daemon until the context ends.
	serve func(context.Context, settings.Settings) error
}

// store is what the commands on notes need of the platform.
type store interface {
	datastore.Tables
	datastore.Objects
	datastore.VMs
}

func connect(at settings.Platform, clock clock.Clock) store {
	return datastore.NewClient(datastore.ClientSettings{Address: at.Address, Timeout: at.Timeout}, clock)
}
