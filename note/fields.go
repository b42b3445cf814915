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

// diffFields returns the diffFields that differ between two entries of one type.
func diffFields[T any](before, after T) []Field {
	var changed []Field
	old, now := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range now.NumField() {
		field := now.Type().Field(i)
		if nameFields[field.Name] || reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			continue
		}
		changed = append(changed, Field{Name: field.Name, Before: formatBefore(old, i), After: formatField(field, now.Field(i))})
	}
	return changed
}

// formatBefore returns the old value, or nothing for an entry that is new.
func formatBefore(entry reflect.Value, at int) string {
	if entry.IsZero() {
		return ""
	}
	return formatField(entry.Type().Field(at), entry.Field(at))
}

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

func formatCalls(calls []catalogue.Call) string {
	shown := make([]string, len(calls))
	for i, call := range calls {
		shown[i] = call.Method + " " + call.Path
		if call.Idempotent {
			shown[i] += " (idempotent)"
		}
	}
	return strings.Join(shown, "; ")
}
