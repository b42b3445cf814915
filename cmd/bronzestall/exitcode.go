package main

import (
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
	"github.com/bronzestall/bronzestall/outcome"
)

// exitCode is the exit code of the process. docs/COMMANDS.md lists the codes.
type exitCode int

// The exit codes.
const (
	exitDone exitCode = iota
	exitFailure
	exitUsage
	exitRefused
	exitConflict
	exitUnavailable
)

// usageError is a command line that cannot be meant.
type usageError struct {
	message string
}

// Error returns the message.
func (failure *usageError) Error() string {
	return failure.message
}

// refusedError is a note or settings file that the checks refused. The problems were printed.
type refusedError struct {
	file string
}

// Error names the file.
func (failure *refusedError) Error() string {
	return failure.file + " is refused"
}

// unreachableError is a daemon that does not answer.
type unreachableError struct {
	address string
	cause   error
}

// Error names the address and the cause.
func (failure *unreachableError) Error() string {
	return "no answer from " + failure.address + ": " + failure.cause.Error()
}

// Unwrap returns the cause.
func (failure *unreachableError) Unwrap() error {
	return failure.cause
}

func exitCodeOf(err error) exitCode {
	if err == nil {
		return exitDone
	}
	var usage *usageError
	var refused *refusedError
	var malformed *strictyaml.Error
	var unreachable *unreachableError
	var ended *outcome.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused), errors.As(err, &malformed):
		return exitRefused
	case errors.As(err, &unreachable):
		return exitUnavailable
	case errors.As(err, &ended):
		return exitCodeOfKind(ended.Kind)
	default:
		return exitFailure
	}
}

func exitCodeOfKind(kind outcome.Kind) exitCode {
	switch kind {
	case outcome.NoteInvalid:
		return exitRefused
	case outcome.NoteConflict:
		return exitConflict
	case outcome.NoteUnclear, outcome.PlatformUnavailable:
		return exitUnavailable
	default:
		return exitFailure
	}
}

// explain returns the error for an operator.
func explain(err error) string {
	var ended *outcome.Error
	if errors.As(err, &ended) {
		return ended.Error()
	}
	return trace.UserMessage(err)
}
