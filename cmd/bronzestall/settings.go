package main

import (
	"errors"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
	"github.com/bronzestall/bronzestall/settings"
)

// settingsCommand holds the commands on settings files.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and list every problem with its line."`
}

// settingsCheckCommand checks one settings file.
type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run checks the file.
func (command *settingsCheckCommand) Run(printer *printer) error {
	daemon, err := settings.Load(command.File)
	var malformed *strictyaml.Error
	if errors.As(err, &malformed) {
		printProblems(printer, command.File, malformed.Problems)
		return &refusedError{file: command.File}
	}
	if err != nil {
		return err
	}
	result := struct{ Name, DataCentre string }{daemon.Name, daemon.DataCentre}
	printer.print(result, func(page *page) {
		page.line("%s is in order: daemon %s in %s.", command.File, daemon.Name, daemon.DataCentre)
	})
	return nil
}

// printProblems writes what is wrong with a file.
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
