// Package settings loads, checks and completes the settings file of a daemon.
//
// Settings are written in YAML with keys in Pascal case. Unknown keys, wrong
// types, values out of range and contradictions are reported with file, line,
// key and the accepted values. The zero value of a field means its default.
package settings
