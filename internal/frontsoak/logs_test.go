package frontsoak

import (
	"bufio"
	"os"
	"path/filepath"
	"testing"
)

// maxLogLine is the largest length of a log line in bytes.
const maxLogLine = 1 << 20

// eachLogLine calls the function with each line of the daemons' logs in the folder, and the name of its file. The test fails if there
// are no logs, or if they cannot be read.
func eachLogLine(t *testing.T, folder string, do func(file, line string)) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(paths) == 0 {
		t.Errorf("no logs in %s: %v", folder, err)
	}
	for _, path := range paths {
		if err := eachLine(path, func(line string) { do(filepath.Base(path), line) }); err != nil {
			t.Error(err)
		}
	}
}

// eachLine calls the function with each line of the file.
func eachLine(path string, do func(line string)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		do(lines.Text())
	}
	return lines.Err()
}
