package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/front"
	"github.com/bronzestall/bronzestall/logpipe"
)

// frontCommand runs a front daemon, which serves the users' platform.
type frontCommand struct {
	Settings string `help:"Settings file of the daemon; $$BRONZESTALL_NODE_FILE if left out." env:"BRONZESTALL_NODE_FILE" required:"" type:"path" placeholder:"FILE"`
}

// Run serves until the context ends. Logs go to standard output.
func (command *frontCommand) Run(ctx context.Context) error {
	logx.Disable()
	pipe := logpipe.New(os.Stdout)
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", pipe)
	logs, stopLogs := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return pipe.Run(logs) })
	err := command.serve(ctx, pipe)
	klog.Flush()
	stopLogs()
	// The pipe ends with its context only.
	_ = group.Wait()
	return err
}

func (command *frontCommand) serve(ctx context.Context, pipe *logpipe.Writer) error {
	settings, err := front.Load(command.Settings)
	if err != nil {
		event.SettingsRefused.LogError(err, "File", command.Settings)
		return err
	}
	reload := make(chan struct{}, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	go forward(ctx, signals, reload)
	return front.New(settings, command.Settings, pipe.Dropped).Run(ctx, reload)
}

// forward turns signals into requests to read the settings again, until the context ends.
func forward(ctx context.Context, signals <-chan os.Signal, reload chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}
}
