package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Decode decodes content into a struct, to which into points. Fields that are absent from content keep their
// value. If there are problems, the fields without one are still set. The cost is linear in the size of content.
func Decode(content []byte, into any) (Lines, []Problem) {
	lines, unknown, problems := DecodeOpen(content, into)
	problems = append(problems, unknown...)
	Sort(problems)
	return lines, problems
}

// DecodeOpen decodes content as Decode does, and returns unknown keys apart from the problems: a file that was written for a later
// build has some. They are ignored.
func DecodeOpen(content []byte, into any) (lines Lines, unknown, problems []Problem) {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Lines{}, nil, []Problem{syntaxProblem(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return Lines{}, nil, []Problem{{Line: 1, Reason: "the file must hold exactly one document"}}
	}
	decoder := &decoder{lines: Lines{}}
	decoder.structure(file.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
	return decoder.lines, decoder.unknown, decoder.problems
}

func syntaxProblem(err error) Problem {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return Problem{Line: 1, Reason: err.Error()}
	}
	return Problem{Line: syntax.GetToken().Position.Line, Reason: syntax.GetMessage()}
}

// decoder walks the syntax tree and collects the problems, the unknown keys and the line of each key.
type decoder struct {
	lines             Lines
	unknown, problems []Problem
}

func (decoder *decoder) addProblem(node ast.Node, key, format string, args ...any) {
	decoder.problems = append(decoder.problems, newProblem(node, key, format, args...))
}

func newProblem(node ast.Node, key, format string, args ...any) Problem {
	return Problem{Line: node.GetToken().Position.Line, Key: key, Reason: fmt.Sprintf(format, args...)}
}

func (decoder *decoder) value(node ast.Node, into reflect.Value, key, unit string) {
	if node.Type() == ast.NullType {
		decoder.addProblem(node, key, "has no value; write one or remove the key")
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		decoder.structure(node, into, key)
	case reflect.Slice:
		decoder.list(node, into, key)
	default:
		decoder.scalar(node, into, key, unit)
	}
}

func (decoder *decoder) structure(node ast.Node, into reflect.Value, key string) {
	entries, ok := mappingEntries(node)
	if !ok {
		decoder.addProblem(node, key, "must be a mapping with the keys %s", strings.Join(keysOf(into.Type()), ", "))
		return
	}
	for _, entry := range entries {
		decoder.entry(entry, into, key)
	}
}

func (decoder *decoder) entry(entry *ast.MappingValueNode, into reflect.Value, key string) {
	name := entry.Key.GetToken().Value
	path := join(key, name)
	field, ok := fieldOf(into.Type(), name)
	if !ok {
		decoder.unknown = append(decoder.unknown, newProblem(entry.Key, path, "unknown key; allowed are %s", strings.Join(keysOf(into.Type()), ", ")))
		return
	}
	decoder.lines[path] = entry.Key.GetToken().Position.Line
	decoder.value(entry.Value, into.FieldByIndex(field.Index), path, field.Tag.Get("unit"))
}

func (decoder *decoder) list(node ast.Node, into reflect.Value, key string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		decoder.addProblem(node, key, "must be a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", key, i)
		decoder.lines[path] = lineOf(element)
		decoder.value(element, list.Index(i), path, "")
	}
	into.Set(list)
}

// lineOf returns the line on which the node begins. The token of a mapping is its first colon, so the line
// of its first key is taken.
func lineOf(node ast.Node) int {
	entries, ok := mappingEntries(node)
	if !ok || len(entries) == 0 {
		return node.GetToken().Position.Line
	}
	return entries[0].Key.GetToken().Position.Line
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	default:
		return nil, false
	}
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// keyOf returns the YAML key of a field.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func fieldOf(structure reflect.Type, name string) (reflect.StructField, bool) {
	return structure.FieldByNameFunc(func(candidate string) bool {
		field, _ := structure.FieldByName(candidate)
		return name != "" && name != "-" && keyOf(field) == name
	})
}

func keysOf(structure reflect.Type) []string {
	var keys []string
	for _, field := range reflect.VisibleFields(structure) {
		if key := keyOf(field); key != "" && key != "-" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
