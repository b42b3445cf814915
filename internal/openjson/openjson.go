// Package openjson decodes JSON objects that a later build may have written, and keeps the members that this build does not know
// when it writes them again.
package openjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// Rest holds the members of a JSON object that have no field, as a JSON object; empty if there are none.
type Rest string

// Decode decodes the content, a JSON object, into a struct, to which into points, and returns the members without a field. It
// fails as json.Unmarshal does. The type must not implement json.Unmarshaler by this function. An object without unknown members
// is decoded once, others twice.
func Decode(content []byte, into any) (Rest, error) {
	if err := json.Unmarshal(content, into); err != nil {
		return "", err
	}
	strict := json.NewDecoder(bytes.NewReader(content))
	strict.DisallowUnknownFields()
	if strict.Decode(reflect.New(reflect.TypeOf(into).Elem()).Interface()) == nil {
		return "", nil
	}
	return unknown(content, reflect.TypeOf(into).Elem())
}

// unknown returns the members of the object that have no field in the struct. Unknown members of inner objects are not among them.
func unknown(content []byte, structure reflect.Type) (Rest, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(content, &members); err != nil {
		return "", err
	}
	for name := range members {
		if hasField(structure, name) {
			delete(members, name)
		}
	}
	if len(members) == 0 {
		return "", nil
	}
	rest, err := json.Marshal(members)
	return Rest(rest), err
}

// hasField reports whether json.Unmarshal finds a field for the member.
func hasField(structure reflect.Type, member string) bool {
	for _, field := range reflect.VisibleFields(structure) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = field.Name
		}
		if field.IsExported() && strings.EqualFold(name, member) {
			return true
		}
	}
	return false
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
