package main

import (
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
	"github.com/bronzestall/bronzestall/outcome"
)

// exitCode is the exit code of the process. docs/COMMANDS.md lists the codes.
type exitCode int

// Exit codes, in the order of docs/COMMANDS.md, from 0.
const (
	exitDone exitCode = iota
	exitFailure
	exitUsage
	exitRefused
	exitConflict
	exitUnavailable
)

// usageError reports a command line with an invalid value; the process ends with exitUsage.
type usageError struct {
	message string
}

// Error returns the message, which names the invalid flag or argument.
func (failure *usageError) Error() string {
	return failure.message
}

// refusedError reports a note or settings file that failed its checks. The problems have been printed before.
type refusedError struct {
	file string
}

// Error returns a message that names the file.
func (failure *refusedError) Error() string {
	return failure.file + " is refused"
}

// unreachableError reports a daemon from which no complete response was received.
type unreachableError struct {
	address string
	cause   error
}

// Error returns a message with the address and the cause.
func (failure *unreachableError) Error() string {
	return "no answer from " + failure.address + ": " + failure.cause.Error()
}

// Unwrap returns the error of the connection.
func (failure *unreachableError) Unwrap() error {
	return failure.cause
}

// exitCodeOf returns the exit code for the result of a command; unknown errors are exitFailure.
func exitCodeOf(err error) exitCode {
	if err == nil {
		return exitDone
	}
	var usage *usageError
	var refused *refusedError
	var malformed *strictyaml.Error
	var unreachable *unreachableError
	var failure *outcome.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused), errors.As(err, &malformed):
		return exitRefused
	case errors.As(err, &unreachable):
		return exitUnavailable
	case errors.As(err, &failure):
		return exitCodeOfKind(failure.Kind)
	default:
		return exitFailure
	}
}

// exitCodeOfKind returns the exit code for an outcome of the release package.
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

// explain returns the message of the error that is shown to an operator, without a stack trace.
func explain(err error) string {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		return failure.Error()
	}
	return trace.UserMessage(err)
}
