package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// Load reads the settings file, checks it and fills in the defaults. A file
// with problems gives an error that lists each one with file, line, key and
// what is allowed.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse checks the content of a settings file and fills in the defaults. The name is used in errors only.
func Parse(name string, content []byte) (Settings, error) {
	var parsed Settings
	lines, problems := strictyaml.Decode(content, &parsed)
	full := parsed.WithDefaults()
	if len(problems) == 0 {
		problems = check(full, lines)
	}
	if err := strictyaml.NewError(name, problems); err != nil {
		return Settings{}, err
	}
	return full, nil
}
