package golden

import (
	"encoding/json"
	"maps"
	"testing"
)

// JSON returns the variants of a JSON object, or of a list of them. Unknown members are added to the outer object and to all objects
// in lists, but not to other inner objects, which may be maps.
func JSON(t *testing.T, content []byte) Variants {
	t.Helper()
	var value any
	if err := json.Unmarshal(content, &value); err != nil {
		t.Fatal(err)
	}
	variants := Variants{Reduced: map[string][]byte{}}
	object, _ := value.(map[string]any)
	for name := range object {
		reduced := maps.Clone(object)
		delete(reduced, name)
		variants.Reduced[name] = encodeJSON(t, reduced)
	}
	variants.Extended = encodeJSON(t, extended(value, true))
	return variants
}

// extended returns the value with unknown members in its objects. element states that the value is the outer one or in a list.
func extended(value any, element bool) any {
	switch value := value.(type) {
	case []any:
		list := make([]any, 0, len(value))
		for _, next := range value {
			list = append(list, extended(next, true))
		}
		return list
	case map[string]any:
		object := map[string]any{}
		for name, member := range value {
			object[name] = extended(member, false)
		}
		if element {
			object["FromALaterBuild"] = map[string]any{"List": []int{1}}
		}
		return object
	default:
		return value
	}
}

func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return content
}
