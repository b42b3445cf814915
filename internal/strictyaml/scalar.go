package strictyaml

import (
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// unitBytes is the value of the unit tag of sizes.
const unitBytes = "bytes"

var durationType = reflect.TypeFor[time.Duration]()

func (decoder *decoder) scalar(node ast.Node, into reflect.Value, key, unit string) {
	switch {
	case into.Type() == durationType:
		decoder.duration(node, into, key)
	case unit == unitBytes:
		decoder.size(node, into, key)
	case into.Kind() == reflect.String:
		decoder.text(node, into, key)
	case into.Kind() == reflect.Bool:
		decoder.boolean(node, into, key)
	case into.CanInt():
		decoder.integer(node, into, key)
	case into.CanUint():
		decoder.unsigned(node, into, key)
	case into.CanFloat():
		decoder.float(node, into, key)
	default:
		panic("strictyaml: field of an unsupported type " + into.Type().String())
	}
}

func (decoder *decoder) duration(node ast.Node, into reflect.Value, key string) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		decoder.addProblem(node, key, "must be a duration with its unit, such as 500ms, 10s or 5m")
		return
	}
	duration, err := time.ParseDuration(strings.TrimSpace(text.Value))
	if err != nil {
		decoder.addProblem(node, key, "%q is not a duration; write a number with its unit, such as 500ms, 10s or 5m", text.Value)
		return
	}
	into.SetInt(int64(duration))
}

func (decoder *decoder) size(node ast.Node, into reflect.Value, key string) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		decoder.addProblem(node, key, "must be a size with its unit B, KiB, MiB, GiB or TiB, such as 8MiB")
		return
	}
	size, err := ParseSize(strings.TrimSpace(text.Value))
	if err != nil {
		decoder.addProblem(node, key, "%v; write a number with its unit B, KiB, MiB, GiB or TiB, such as 8MiB", err)
		return
	}
	into.SetInt(size)
}

func (decoder *decoder) text(node ast.Node, into reflect.Value, key string) {
	switch text := node.(type) {
	case *ast.StringNode:
		into.SetString(text.Value)
	case *ast.LiteralNode:
		into.SetString(text.Value.Value)
	default:
		decoder.addProblem(node, key, "must be text; put it in quotes if it reads as a number")
	}
}

func (decoder *decoder) boolean(node ast.Node, into reflect.Value, key string) {
	boolean, ok := node.(*ast.BoolNode)
	if !ok {
		decoder.addProblem(node, key, "must be true or false")
		return
	}
	into.SetBool(boolean.Value)
}

func (decoder *decoder) integer(node ast.Node, into reflect.Value, key string) {
	number, ok := integerOf(node)
	if !ok || into.OverflowInt(number) {
		decoder.addProblem(node, key, "must be a whole number")
		return
	}
	into.SetInt(number)
}

func (decoder *decoder) unsigned(node ast.Node, into reflect.Value, key string) {
	number, ok := integerOf(node)
	if !ok || number < 0 || into.OverflowUint(uint64(number)) {
		decoder.addProblem(node, key, "must be a whole number of at least 0")
		return
	}
	into.SetUint(uint64(number))
}

func (decoder *decoder) float(node ast.Node, into reflect.Value, key string) {
	if number, ok := node.(*ast.FloatNode); ok {
		into.SetFloat(number.Value)
		return
	}
	number, ok := integerOf(node)
	if !ok {
		decoder.addProblem(node, key, "must be a number")
		return
	}
	into.SetFloat(float64(number))
}

func integerOf(node ast.Node) (int64, bool) {
	integer, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch number := integer.Value.(type) {
	case int64:
		return number, true
	case uint64:
		return int64(number), number <= 1<<63-1
	default:
		return 0, false
	}
}
