// Package openjson decodes JSON objects that a later build may have written, and keeps the members that this build does not know
// when it writes them again.
package openjson

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"sync"
)

// Rest holds the members of a JSON object that have no field, as a JSON object; empty if there are none.
type Rest string

// Decode decodes the content, a JSON object, into a struct, to which into points, and returns the members without a field. It
// fails as json.Unmarshal does. The type must not implement json.Unmarshaler by this function. The content is read twice, and what
// lies in its members is decoded once.
func Decode(content []byte, into any) (Rest, error) {
	if err := json.Unmarshal(content, into); err != nil {
		return "", err
	}
	return unknown(content, reflect.TypeOf(into).Elem())
}

// unknown returns the members of the object that have no field in the struct. Unknown members of inner objects are not among them.
func unknown(content []byte, structure reflect.Type) (Rest, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(content, &members); err != nil {
		return "", err
	}
	known := names(structure)
	for member := range members {
		if slices.ContainsFunc(known, func(name string) bool { return strings.EqualFold(name, member) }) {
			delete(members, member)
		}
	}
	if len(members) == 0 {
		return "", nil
	}
	rest, err := json.Marshal(members)
	return Rest(rest), err
}

// namesByType maps types of structs to what names returns for them.
var namesByType sync.Map

// names returns the names of the members that json.Unmarshal finds a field for, whatever their case.
func names(structure reflect.Type) []string {
	if known, ok := namesByType.Load(structure); ok {
		return known.([]string)
	}
	var known []string
	for _, field := range reflect.VisibleFields(structure) {
		tag := field.Tag.Get("json")
		name, _, _ := strings.Cut(tag, ",")
		if name == "" {
			name = field.Name
		}
		if field.IsExported() && tag != "-" {
			known = append(known, name)
		}
	}
	namesByType.Store(structure, known)
	return known
}

// Encode encodes a struct as a JSON object with the members of the rest behind its own. The rest must be one that Decode returned
// for the type.
func Encode(value any, rest Rest) ([]byte, error) {
	content, err := json.Marshal(value)
	if err != nil || rest == "" {
		return content, err
	}
	separator := ","
	if string(content) == "{}" {
		separator = ""
	}
	return append(content[:len(content)-1], separator+string(rest[1:])...), nil
}
