package note

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// nameFields are left out of the fields of an entry, since its name contains them.
var nameFields = map[string]bool{"Name": true, "Model": true}

// diffFields returns the fields that differ between two entries of one type, except nameFields.
func diffFields[T any](before, after T) []Field {
	var changed []Field
	old, current := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range current.NumField() {
		field := current.Type().Field(i)
		if nameFields[field.Name] || reflect.DeepEqual(old.Field(i).Interface(), current.Field(i).Interface()) {
			continue
		}
		changed = append(changed, Field{Name: field.Name, Before: formatBefore(old, i), After: formatField(field, current.Field(i))})
	}
	return changed
}

// formatBefore returns the old value of the field, or an empty string if the entry is new.
func formatBefore(entry reflect.Value, index int) string {
	if entry.IsZero() {
		return ""
	}
	return formatField(entry.Type().Field(index), entry.Field(index))
}

// formatField returns the value of a field for display. Sizes are formatted with a unit.
func formatField(field reflect.StructField, value reflect.Value) string {
	if field.Tag.Get("unit") == "bytes" {
		return strictyaml.FormatSize(value.Int())
	}
	switch value := value.Interface().(type) {
	case []string:
		return strings.Join(value, " ")
	case []catalogue.Call:
		return formatCalls(value)
	default:
		return fmt.Sprint(value)
	}
}

// formatCalls returns the calls of a plain service for display.
func formatCalls(calls []catalogue.Call) string {
	formatted := make([]string, len(calls))
	for i, call := range calls {
		formatted[i] = call.Method + " " + call.Path
		if call.Idempotent {
			formatted[i] += " (idempotent)"
		}
	}
	return strings.Join(formatted, "; ")
}
