package note

import "github.com/bronzestall/bronzestall/internal/strictyaml"

// Parse reads a note. The error lists every unknown key, wrong type and size without a unit, each with its line. The
// file name is used in errors only.
func Parse(file string, content []byte) (Note, error) {
	var parsed Note
	lines, problems := strictyaml.Decode(content, &parsed)
	if err := strictyaml.NewError(file, problems); err != nil {
		return Note{}, err
	}
	parsed.lines = lines
	return parsed, nil
}
