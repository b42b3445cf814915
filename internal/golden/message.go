package golden

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// unknownField is the number of the unknown field that Message adds. No message uses it.
const unknownField = 19_000_000

// Message returns a function that returns the variants of an encoded message of the type of the empty one. Unknown fields are added
// to the message and to all inner ones.
func Message(empty proto.Message) func(t *testing.T, content []byte) Variants {
	return func(t *testing.T, content []byte) Variants {
		t.Helper()
		decoded := proto.Clone(empty)
		if err := proto.Unmarshal(content, decoded); err != nil {
			t.Fatal(err)
		}
		variants := Variants{Reduced: map[string][]byte{}}
		decoded.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
			reduced := proto.Clone(decoded)
			reduced.ProtoReflect().Clear(field)
			variants.Reduced[string(field.Name())] = encodeMessage(t, reduced)
			return true
		})
		extend(decoded.ProtoReflect())
		variants.Extended = encodeMessage(t, decoded)
		return variants
	}
}

// extend adds an unknown field to the message and to all inner ones.
func extend(message protoreflect.Message) {
	message.SetUnknown(protowire.AppendString(protowire.AppendTag(nil, unknownField, protowire.BytesType), "later"))
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil:
		case field.IsList():
			for index := range value.List().Len() {
				extend(value.List().Get(index).Message())
			}
		default:
			extend(value.Message())
		}
		return true
	})
}

func encodeMessage(t *testing.T, message proto.Message) []byte {
	t.Helper()
	content, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return content
}
