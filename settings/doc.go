// Package settings holds the checked settings of one process.
//
// Settings are written in YAML with keys in Pascal case. Unknown keys, wrong
// types, values out of range and contradictions are refused with file, line,
// key and what is allowed. The zero value of a field means its default.
package settings
