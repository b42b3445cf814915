// Package strictyaml decodes YAML strictly and reports every problem with its line.
//
// The parser is goccy/go-yaml. The decoder of that library stops at the first
// error and accepts bare numbers as durations. This package walks the syntax
// tree instead, so that all problems are reported at once, durations and sizes
// require a unit, and later checks can report the line of each key. Anchors,
// aliases, tags and merge keys are rejected.
//
// Targets consist of structs, slices, strings, booleans, integers, floats and
// time.Duration. A field of type int64 with the tag unit:"bytes" is a size.
package strictyaml
