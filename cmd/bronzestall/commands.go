package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/core/logx"
	"k8s.io/klog/v2"
)

const description = `bronzestall serves rarely used models, driven by release notes alone.

Operators write a note, check it, look at what it changes, and apply it:

  bronzestall note check --settings daemon.yaml note.yaml
  bronzestall note diff  --settings daemon.yaml note.yaml
  bronzestall note apply --settings daemon.yaml note.yaml

Exit codes: 0 done, 1 failure, 2 wrong use of the command line, 3 refused by checks,
4 conflict with another note, 5 the platform or daemon cannot be reached or the outcome is unclear.`

// commands defines the command line: global flags and commands.
type commands struct {
	Output string `help:"Form of the output: ${enum}." enum:"table,json" default:"table" placeholder:"FORM"`

	Serve    serveCommand    `cmd:"" help:"Serve callers as the daemon of an entry VM until SIGTERM."`
	Front    frontCommand    `cmd:"" help:"Serve the users' platform as the daemon of an entry VM until SIGTERM."`
	Note     noteCommands    `cmd:"" help:"Check, apply and show release notes."`
	Status   statusCommand   `cmd:"" help:"Show what a daemon knows: what is in force, loaded and refused, and how old that is."`
	Settings settingsCommand `cmd:"" help:"Check settings files."`
	Version  versionCommand  `cmd:"" help:"Show the version of this program."`
}

// noteCommands groups the commands on release notes.
type noteCommands struct {
	Check   noteCheckCommand   `cmd:"" help:"Check a note against what is in force, and change nothing."`
	Diff    noteDiffCommand    `cmd:"" help:"Show what a note would change."`
	Apply   noteApplyCommand   `cmd:"" help:"Put a note in force everywhere. Applying a note again is harmless."`
	Show    noteShowCommand    `cmd:"" help:"Show what is in force, or what was at an earlier number."`
	History noteHistoryCommand `cmd:"" help:"Show the accepted notes, the newest last."`
}

// disableLogs disables log output, so that commands other than daemons print their result only.
func disableLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	logx.Disable()
}

// run executes the command line and returns the exit code of the process. Errors are printed to the
// standard error of the environment. It panics if the definition of the commands is invalid.
func run(ctx context.Context, arguments []string, environment *environment) exitCode {
	var parsed commands
	exited := false
	parser, err := kong.New(&parsed,
		kong.Name("bronzestall"),
		kong.Description(description),
		kong.Writers(environment.stdout, environment.stderr),
		kong.Exit(func(int) { exited = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		panic(err)
	}
	selected, err := parser.Parse(arguments)
	if exited {
		return exitDone
	}
	if err != nil {
		_, _ = fmt.Fprintf(environment.stderr, "bronzestall: %v\nTry \"bronzestall --help\".\n", err)
		return exitUsage
	}
	if selected.Command() != "serve" && selected.Command() != "front" {
		disableLogs()
	}
	printer := &printer{out: environment.stdout, json: parsed.Output == "json"}
	selected.BindTo(ctx, (*context.Context)(nil))
	err = errors.Join(selected.Run(environment, printer), printer.err)
	if err != nil {
		_, _ = fmt.Fprintf(environment.stderr, "bronzestall: %s\n", explain(err))
	}
	return exitCodeOf(err)
}
