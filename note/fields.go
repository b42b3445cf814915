package note

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// nameFields are shown with the entry and left out of its fields.
var nameFields = map[string]bool{"Name": true, "Model": true}

// fields returns the fields that differ between two entries of one type.
func fields[T any](before, after T) []Field {
	var changed []Field
	old, now := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range now.NumField() {
		field := now.Type().Field(i)
		if nameFields[field.Name] || reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			continue
		}
		changed = append(changed, Field{Name: field.Name, Before: shownBefore(old, i), After: shown(field, now.Field(i))})
	}
	return changed
}

// shownBefore returns the old value, or nothing for an entry that is new.
func shownBefore(entry reflect.Value, at int) string {
	if entry.IsZero() {
		return ""
	}
	return shown(entry.Type().Field(at), entry.Field(at))
}

func shown(field reflect.StructField, value reflect.Value) string {
	if field.Tag.Get("unit") == "bytes" {
		return strictyaml.FormatSize(value.Int())
	}
	switch value := value.Interface().(type) {
	case []string:
		return strings.Join(value, " ")
	case []catalogue.Call:
		return shownCalls(value)
	default:
		return fmt.Sprint(value)
	}
}

func shownCalls(calls []catalogue.Call) string {
	shown := make([]string, len(calls))
	for i, call := range calls {
		shown[i] = call.Method + " " + call.Path
		if call.Idempotent {
			shown[i] += " (idempotent)"
		}
	}
	return strings.Join(shown, "; ")
}
