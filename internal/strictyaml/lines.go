package strictyaml

import "strings"

// Lines maps the path of each key of a file to its line.
type Lines map[string]int

// Lookup returns the line of the key, else that of its nearest ancestor that the file has, else 1.
func (lines Lines) Lookup(key string) int {
	for key != "" {
		if line, ok := lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// Problem returns a problem at the line of the key.
func (lines Lines) Problem(key, reason string) Problem {
	return Problem{Line: lines.Lookup(key), Key: key, Reason: reason}
}
