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
	"github.com/bronzestall/bronzestall/logwriter"
)

// frontCommand runs a front daemon, which serves the users' platform on an entry VM.
type frontCommand struct {
	Settings string `help:"Settings file of the daemon; $$BRONZESTALL_NODE_FILE if left out." env:"BRONZESTALL_NODE_FILE" required:"" type:"path" placeholder:"FILE"`
}

// Run serves until the context ends. Log events are written to standard output through a buffer,
// which is emptied before Run returns.
func (command *frontCommand) Run(ctx context.Context) error {
	logx.Disable()
	logWriter := logwriter.New(os.Stdout)
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", logWriter)
	logContext, stopWriter := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return logWriter.Run(logContext) })
	err := command.serve(ctx, logWriter)
	klog.Flush()
	stopWriter()
	// The log writer returns no error but that of its context.
	_ = group.Wait()
	return err
}

// serve runs the front daemon. SIGHUP makes it read its settings file again.
func (command *frontCommand) serve(ctx context.Context, logWriter *logwriter.Writer) error {
	settings, err := front.LoadOpen(command.Settings)
	if err != nil {
		event.SettingsRefused.LogError(err, "File", command.Settings)
		return err
	}
	reload := make(chan struct{}, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	go forward(ctx, signals, reload)
	return front.New(settings, command.Settings, logWriter.Dropped).Run(ctx, reload)
}

// forward sends a reload for each signal until the context ends. A signal is merged with a reload that
// has not begun yet.
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
