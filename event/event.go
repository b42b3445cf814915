package event

import (
	"k8s.io/klog/v2"
)

// Severity is the level of an event.
type Severity int

// Severities of events.
const (
	// Info is an ordinary step of operation.
	Info Severity = iota
	// Warning is a fault that the system handles without an operator.
	Warning
	// Error is a fault that requires an operator.
	Error
)

// Event is one entry of the catalogue.
type Event struct {
	// Number is unique in the catalogue.
	Number int
	// Name is in Pascal case and never changes.
	Name string
	// Severity selects the klog level.
	Severity Severity
	// Meaning is one sentence that explains the event in the reference page.
	Meaning string
}

// Log writes the event with its fields, given as alternating keys in Pascal case and values.
func (event Event) Log(fields ...any) {
	event.write(nil, fields)
}

// LogError writes the event with an error and its fields.
func (event Event) LogError(err error, fields ...any) {
	event.write(err, fields)
}

// callDepth makes klog report the source position of the caller of Log or LogError.
const callDepth = 2

func (event Event) write(err error, fields []any) {
	all := make([]any, 0, len(fields)+4)
	all = append(all, "Number", event.Number)
	all = append(all, fields...)
	if event.Severity == Error {
		klog.ErrorSDepth(callDepth, err, event.Name, all...)
		return
	}
	if err != nil {
		all = append(all, "Cause", err.Error())
	}
	klog.InfoSDepth(callDepth, event.Name, all...)
}
