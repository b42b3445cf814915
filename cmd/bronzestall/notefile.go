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

// platformFlags tell where the notes are kept.
type platformFlags struct {
	Settings string `help:"Settings file of any daemon; it tells where the platform is and what the upstreams hold." required:"" type:"path" placeholder:"FILE"`
}

// open reads the settings and returns the platform and the ledger of the notes.
func (flags *platformFlags) open(environment *environment) (settings.Settings, store, *release.Ledger, error) {
	daemon, err := settings.Load(flags.Settings)
	if err != nil {
		return settings.Settings{}, nil, nil, err
	}
	store := environment.connect(daemon.Platform, environment.clock)
	return daemon, store, release.NewLedger(store, store, environment.clock), nil
}

// noteFlags name a note beside the platform.
type noteFlags struct {
	platformFlags
	File string `arg:"" help:"Release note." type:"path"`
}

// candidate is a note that is not accepted yet, and what it would change.
type candidate struct {
	file     string
	note     note.Note
	ledger   *release.Ledger
	capacity note.Capacity
	inForce  release.InForce
}

// parse reads the note. Problems of form are printed and refused.
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

// read reads the note and what is in force.
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

// readOffline reads a first note, against which nothing is in force.
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

// check prints what is wrong with the note and returns an error if anything is.
func (candidate *candidate) check(printer *printer) error {
	problems := candidate.note.Check(candidate.inForce.Catalogue, candidate.capacity)
	if len(problems) == 0 {
		return nil
	}
	printProblems(printer, candidate.file, problems)
	return &refusedError{file: candidate.file}
}

// stale reports whether the note was written against another number than the one in force.
func (candidate *candidate) stale() bool {
	return candidate.note.Base != candidate.inForce.Number
}
