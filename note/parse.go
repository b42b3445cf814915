package note

import "github.com/bronzestall/bronzestall/internal/strictyaml"

// Parse reads a note. It fails with every unknown key, wrong type and bare size at once, each with its line.
// The name of the file is used in errors only.
func Parse(file string, content []byte) (Note, error) {
	var parsed Note
	lines, problems := strictyaml.Decode(content, &parsed)
	if err := strictyaml.NewError(file, problems); err != nil {
		return Note{}, err
	}
	parsed.lines = lines
	return parsed, nil
}
