package main

import (
	"errors"

	"github.com/bronzestall/bronzestall/front"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
	"github.com/bronzestall/bronzestall/settings"
)

// settingsCommand groups the commands on settings files.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and list every problem with its line."`
}

// settingsCheckCommand checks one settings file.
type settingsCheckCommand struct {
	File  string `arg:"" help:"Settings file." type:"path"`
	Front bool   `help:"The file is for a front daemon, which serves the users' platform."`
}

// Run checks the file and prints its problems, or the names of the daemon and its data centre.
func (command *settingsCheckCommand) Run(printer *printer) error {
	name, dataCentre, err := command.load()
	var malformed *strictyaml.Error
	if errors.As(err, &malformed) {
		printProblems(printer, command.File, malformed.Problems)
		return &refusedError{file: command.File}
	}
	if err != nil {
		return err
	}
	result := struct{ Name, DataCentre string }{name, dataCentre}
	printer.print(result, func(page *page) {
		page.line("%s is in order: daemon %s in %s.", command.File, name, dataCentre)
	})
	return nil
}

// load reads and checks the file as one of a front daemon or of a daemon, and returns the names of the
// daemon and its data centre.
func (command *settingsCheckCommand) load() (name, dataCentre string, err error) {
	if command.Front {
		daemon, err := front.Load(command.File)
		return daemon.Name, daemon.DataCentre, err
	}
	daemon, err := settings.Load(command.File)
	return daemon.Name, daemon.DataCentre, err
}

// printProblems prints the problems of a note or settings file, each with the name of the file.
func printProblems(printer *printer, file string, problems []strictyaml.Problem) {
	result := struct {
		File     string
		Problems []strictyaml.Problem
	}{file, problems}
	printer.print(result, func(page *page) {
		for _, problem := range problems {
			page.line("%s: %s", file, problem)
		}
	})
}
