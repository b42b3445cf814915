package protocol

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestBuildsOfDifferentContentDiffer guards against upgrades in which operators see the same name for both builds.
func TestBuildsOfDifferentContentDiffer(t *testing.T) {
	seen := map[string]string{}
	for _, content := range []string{"a", "b"} {
		folder := t.TempDir()
		source := "package main\n\nimport \"github.com/bronzestall/bronzestall/protocol\"\n\nfunc main() { print(protocol.Build(), \"" + content + "\") }\n"
		if err := os.WriteFile(filepath.Join(folder, "main.go"), []byte(source), 0o600); err != nil {
			t.Fatal(err)
		}
		program := filepath.Join(folder, "program")
		if output, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, filepath.Join(folder, "main.go")).CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, output)
		}
		output, err := exec.Command(program).CombinedOutput()
		build, ok := strings.CutSuffix(string(output), content)
		if err != nil || !ok || len(build) != contentIDLength || seen[build] != "" {
			t.Errorf("the build of %s is named %q, %v", content, output, err)
		}
		seen[build] = content
	}
}

func TestBuildIDsOfOddForm(t *testing.T) {
	for note, want := range map[string]string{
		"": "", "/": "", "abc": "", "\x00\x00": "", "a/b": "", "0123456789abcdef": "", "a/0123456789abcdef\x00": "0123456789ab", "a/b/0123456789ab": "0123456789ab",
	} {
		if got := lastPart([]byte(note)); got != want {
			t.Errorf("the part of %q is %q, want %q", note, got, want)
		}
	}
}
