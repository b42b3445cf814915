package main

import (
	"context"
	"errors"
	"os"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/settings"
)

// platformFlags locate the platform that stores the release notes.
type platformFlags struct {
	Settings string `help:"Settings file of any daemon; it tells where the platform is and what the upstreams hold." required:"" type:"path" placeholder:"FILE"`
}

// open reads the settings and returns them with clients of the platform and of the ledger of notes.
// It does not connect yet.
func (flags *platformFlags) open(environment *environment) (settings.Settings, store, *release.Ledger, error) {
	daemon, err := settings.Load(flags.Settings)
	if err != nil {
		return settings.Settings{}, nil, nil, err
	}
	store := environment.connect(daemon.Platform, environment.clock)
	return daemon, store, release.NewLedger(store, store, environment.clock), nil
}

// noteFlags locate the file of a release note and the platform.
type noteFlags struct {
	platformFlags
	File string `arg:"" help:"Release note." type:"path"`
}

// candidate is a note that has been read from a file, with the state against which it is checked.
// The ledger is nil for an offline check.
type candidate struct {
	file     string
	note     note.Note
	ledger   *release.Ledger
	capacity note.Capacity
	inForce  release.InForce
}

// parse reads the note from its file. If the form is invalid it prints the problems and returns a refusedError.
func (flags *noteFlags) parse(printer *printer) (note.Note, error) {
	content, err := os.ReadFile(flags.File)
	if err != nil {
		return note.Note{}, trace.ConvertSystemError(err)
	}
	parsed, err := note.Parse(flags.File, content)
	var malformed *strictyaml.Error
	if errors.As(err, &malformed) {
		printProblems(printer, flags.File, malformed.Problems)
		return note.Note{}, &refusedError{file: flags.File}
	}
	return parsed, err
}

// read reads the note, the VM list and the catalogue in force. It fails with PlatformUnavailable if the
// platform cannot be read.
func (flags *noteFlags) read(ctx context.Context, environment *environment, printer *printer) (*candidate, error) {
	parsed, err := flags.parse(printer)
	if err != nil {
		return nil, err
	}
	daemon, store, ledger, err := flags.open(environment)
	if err != nil {
		return nil, err
	}
	vms, err := store.List(ctx)
	if err != nil {
		return nil, outcome.New(outcome.PlatformUnavailable, "the VM list cannot be read").WithCause(err)
	}
	inForce, err := ledger.InForce(ctx)
	if err != nil {
		return nil, err
	}
	return &candidate{file: flags.File, note: parsed, ledger: ledger, capacity: note.CapacityOf(daemon, vms), inForce: inForce}, nil
}

// readOffline reads a note with base 0, which is checked against an empty catalogue, without the platform.
func (flags *noteFlags) readOffline(printer *printer) (*candidate, error) {
	parsed, err := flags.parse(printer)
	if err != nil {
		return nil, err
	}
	if parsed.Base != 0 {
		return nil, &usageError{message: "--offline can check a first note only, with Base: 0"}
	}
	daemon, err := settings.Load(flags.Settings)
	if err != nil {
		return nil, err
	}
	return &candidate{file: flags.File, note: parsed, capacity: note.CapacityOf(daemon, nil)}, nil
}

// check checks the note against the catalogue in force and the capacity of the engines. If it finds problems it
// prints them and returns a refusedError.
func (candidate *candidate) check(printer *printer) error {
	problems := candidate.note.Check(candidate.inForce.Catalogue, candidate.capacity)
	if len(problems) == 0 {
		return nil
	}
	printProblems(printer, candidate.file, problems)
	return &refusedError{file: candidate.file}
}

// stale reports whether the base of the note differs from the number in force.
func (candidate *candidate) stale() bool {
	return candidate.note.Base != candidate.inForce.Number
}
