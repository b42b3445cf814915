package outcome

import (
	"errors"
	"testing"
)

func TestEveryKindHasARow(t *testing.T) {
	names := map[string]Kind{}
	events := map[int]Kind{}
	for _, kind := range Kinds() {
		entry := kind.Entry()
		if entry.Name == "" || entry.Status == 0 || entry.Execution == "" || entry.Advice == "" || entry.Event == 0 || entry.Meaning == "" {
			t.Errorf("kind %d has an incomplete row: %+v", kind, entry)
		}
		if other, ok := names[entry.Name]; ok {
			t.Errorf("kinds %d and %d share the name %s", other, kind, entry.Name)
		}
		if other, ok := events[entry.Event]; ok {
			t.Errorf("kinds %s and %s share the event %d", other, kind, entry.Event)
		}
		names[entry.Name] = kind
		events[entry.Event] = kind
	}
}

func TestFromKeepsTheKind(t *testing.T) {
	cause := errors.New("cause")
	failure := New(QueueFull, "queue of %s is full", "m").WithCause(cause)
	if got := From(failure); got.Kind != QueueFull {
		t.Errorf("From changed the kind to %s", got.Kind)
	}
	if !errors.Is(failure, cause) {
		t.Error("errors.Is does not find the cause")
	}
	if got := From(cause); got.Kind != Internal {
		t.Errorf("From gave an unrelated error the kind %s", got.Kind)
	}
	if From(nil) != nil {
		t.Error("From returned an error for nil")
	}
}
