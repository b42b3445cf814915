// Package strictyaml decodes YAML strictly and reports every problem with its line.
//
// The parser is goccy/go-yaml. The decoder of that library stops at the first
// error and takes bare numbers as durations; this package walks the parsed
// tree instead, so that all problems are found at once, durations and sizes
// need a unit, and later checks can name the line of each key. Anchors,
// aliases, tags and merge keys are refused.
//
// The target is made of structs, slices, strings, booleans, integers, floats
// and time.Duration. A field of type int64 with the tag unit:"bytes" is a size.
package strictyaml
