package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// Load reads the settings file, checks it and fills in the defaults. If the
// file has problems, the error lists each one with file, line, key and the
// accepted values.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse checks the content of a settings file and fills in the defaults. The name appears in errors only.
func Parse(name string, content []byte) (Settings, error) {
	var parsed Settings
	lines, problems := strictyaml.Decode(content, &parsed)
	completed := parsed.WithDefaults()
	if len(problems) == 0 {
		problems = check(completed, lines)
	}
	if err := strictyaml.NewError(name, problems); err != nil {
		return Settings{}, err
	}
	return completed, nil
}
