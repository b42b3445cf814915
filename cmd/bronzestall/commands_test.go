package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kong"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/settings"
	"github.com/bronzestall/bronzestall/status"
)

// session runs commands in turn against one fake platform.
type session struct {
	t      *testing.T
	fake   *platformfake.Platform
	client *platformfake.Client
	served []settings.Settings
}

func newSession(t *testing.T) *session {
	t.Setenv("USER", "naoko")
	fake := platformfake.New(clock.RealClock{}, rand.New(rand.NewPCG(1, 1)))
	return &session{t: t, fake: fake, client: fake.Client()}
}

// run executes a command line, in which SETTINGS and NOTE are replaced by the example files, and returns the
// exit code and what was written to standard output and standard error.
func (session *session) run(line string) (exitCode, string) {
	session.t.Helper()
	line = strings.NewReplacer(
		"SETTINGS", "--settings "+example("yamabuki.yaml"),
		"NOTE", example("yamabuki-note-1.yaml"),
	).Replace(line)
	var out bytes.Buffer
	code := run(session.t.Context(), strings.Fields(line), &environment{
		stdout:  &out,
		stderr:  &out,
		clock:   clock.RealClock{},
		connect: func(settings.Platform, clock.Clock) store { return session.client },
		serve: func(_ context.Context, daemon settings.Settings) error {
			session.served = append(session.served, daemon)
			return nil
		},
	})
	return code, out.String()
}

// expect runs a command line and checks its exit code, and that the output contains part.
func (session *session) expect(line string, code exitCode, part string) {
	session.t.Helper()
	got, out := session.run(line)
	if got != code || !strings.Contains(out, part) {
		session.t.Errorf("%s ended with %d, want %d with %q:\n%s", line, got, code, part, out)
	}
}

// example returns the path of an example file.
func example(name string) string {
	return filepath.Join("..", "..", "examples", name)
}

// writeFile writes the content to a file in a temporary directory and returns its path.
func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "note.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// secondNote is a valid note with base 1, on top of the example note.
const secondNote = `Note: second
Base: 1
Summary: Longer answers
Models:
  Changed:
    - {Name: soaking-times, Version: "2", Weights: 8GiB, Reserve: 3GiB}
`

// TestNoteFromCheckToHistory runs every command on notes, with two notes, in the order of an operator's work.
func TestNoteFromCheckToHistory(t *testing.T) {
	session := newSession(t)
	second := writeFile(t, secondNote)
	synctest.Test(t, func(t *testing.T) {
		session.t = t
		session.expect("note show SETTINGS", exitDone, "Number 0: 0 models")
		session.expect("note history SETTINGS", exitDone, "No note was accepted yet.")
		session.expect("note check SETTINGS NOTE", exitDone, "fits number 0")
		session.expect("note diff SETTINGS NOTE", exitDone, "Added     Model round-assistant  Version: 1, Weights: 26GiB")
		session.expect("note check SETTINGS "+second, exitConflict, "written against number 1; number 0 is in force")
		session.expect("note apply SETTINGS NOTE", exitDone, "is accepted as number 1")
		session.expect("note apply SETTINGS NOTE", exitDone, "was accepted before as number 1 by naoko")
		session.expect("note check SETTINGS NOTE", exitDone, "was accepted before as number 1")
		session.expect("note diff SETTINGS "+second, exitDone, "Changed   Model soaking-times  Version: 1 -> 2, Reserve: 2GiB -> 3GiB")
		session.expect("note apply SETTINGS --by takeo "+second, exitDone, "is accepted as number 2")
		session.expect("note show SETTINGS", exitDone, "Number 2: 4 models, 5 adapters, 1 services.")
		session.expect("note show SETTINGS 1", exitDone, "Model soaking-times  Version: 1")
		session.expect("note show SETTINGS 3", exitUsage, "no such number")
		session.expect("note history SETTINGS", exitDone, "takeo")
		session.expect("note history SETTINGS --limit 0", exitUsage, "--limit must be 1 to 100")
	})
}

// TestNoteRefusals covers notes that fail the checks, are malformed, stale or reuse a name, an unavailable
// platform, and writes that take effect although their result is unclear.
func TestNoteRefusals(t *testing.T) {
	session := newSession(t)
	invalid := writeFile(t, strings.Replace(secondNote, "8GiB", "800GiB", 1))
	malformed := writeFile(t, strings.Replace(secondNote, "8GiB", "8", 1))
	stale := writeFile(t, strings.Replace(strings.Replace(secondNote, "second", "stale", 1), "Base: 1", "Base: 0", 1))
	reused := writeFile(t, strings.Replace(secondNote, "second", "2026-12-04-first", 1))
	second := writeFile(t, secondNote)
	synctest.Test(t, func(t *testing.T) {
		session.t = t
		session.expect("note apply SETTINGS NOTE", exitDone, "accepted")
		session.expect("note check SETTINGS "+invalid, exitRefused, "line 6: Models.Changed[0].Weights: Model soaking-times needs 803GiB")
		session.expect("note apply SETTINGS "+invalid, exitRefused, "the largest engine has 80GiB")
		session.expect("note apply SETTINGS "+malformed, exitRefused, "line 6: Models.Changed[0].Weights: must be a size with its unit")
		session.expect("note apply SETTINGS "+stale, exitConflict, "Added     Model round-assistant")
		session.expect("note check SETTINGS "+stale, exitConflict, "Accepted since:")
		session.expect("note apply SETTINGS "+reused, exitRefused, "belongs to another note")
		session.expect("note apply SETTINGS missing.yaml", exitFailure, "missing.yaml")
		session.fake.SetDown(true)
		session.expect("note check --offline SETTINGS NOTE", exitDone, "fits number 0")
		session.expect("note check --offline SETTINGS "+second, exitUsage, "a first note only")
		session.expect("note apply SETTINGS "+second, exitUnavailable, "PlatformUnavailable")
		session.expect("note show SETTINGS", exitUnavailable, "PlatformUnavailable")
		session.fake.SetDown(false)
		withEffect := platformfake.UnclearWithEffect
		session.client.FailWrites(platformfake.None, withEffect, withEffect, withEffect, withEffect, withEffect, withEffect)
		session.expect("note apply SETTINGS "+second, exitDone, "accepted")
	})
}

// TestUnclearApplyIsResolvedByApplyingAgain lets a write with an unclear result take effect only after the
// command has ended; applying the note again finds it accepted.
func TestUnclearApplyIsResolvedByApplyingAgain(t *testing.T) {
	session := newSession(t)
	synctest.Test(t, func(t *testing.T) {
		session.t = t
		withoutEffect := platformfake.UnclearWithoutEffect
		session.client.FailWrites(platformfake.None, withoutEffect, withoutEffect, withoutEffect, withoutEffect, withoutEffect, platformfake.UnclearLate)
		session.expect("note apply SETTINGS NOTE", exitUnavailable, "apply it again")
		session.fake.ApplyLate()
		session.expect("note apply SETTINGS NOTE", exitDone, "was accepted before as number 1")
	})
}

// TestJSONIsOneValue checks that each command prints exactly one JSON value with --output json.
func TestJSONIsOneValue(t *testing.T) {
	session := newSession(t)
	invalid := writeFile(t, strings.Replace(secondNote, "soaking", "sinking", 1))
	synctest.Test(t, func(t *testing.T) {
		session.t = t
		for _, line := range []string{
			"note check SETTINGS NOTE", "note diff SETTINGS NOTE", "note apply SETTINGS NOTE", "note show SETTINGS",
			"note history SETTINGS", "version", "settings check " + example("calabaza.yaml"),
		} {
			code, out := session.run("--output json " + line)
			if code != exitDone || !json.Valid([]byte(out)) {
				t.Errorf("%s ended with %d: %s", line, code, out)
			}
		}
		session.expect("--output json note check SETTINGS "+invalid, exitRefused, `"Key": "Models.Changed[0].Name"`)
	})
}

func TestUsage(t *testing.T) {
	session := newSession(t)
	session.expect("--help", exitDone, "note apply")
	session.expect("note apply --help", exitDone, "--by=NAME")
	session.expect("", exitUsage, "expected one of")
	session.expect("note aply", exitUsage, "did you mean")
	session.expect("note apply NOTE", exitUsage, "missing flags: --settings")
	session.expect("version", exitDone, ", build "+protocol.Build()+", go")
	session.expect("--output yaml version", exitUsage, "must be one of")
	broken := writeFile(t, "Name: x\nLease: {Term: 1}\n")
	session.expect("settings check "+broken, exitRefused, "line 2: Lease.Term: must be a duration")
	session.expect("serve --settings "+broken, exitRefused, "line 2: Lease.Term")
	session.expect("settings check --front "+example("front.yaml"), exitDone, "daemon entry-1 in fukuoka")
	session.expect("settings check --front "+writeFile(t, "Name: x\nCores: none\n"), exitRefused, "line 2: Cores")
	session.expect("serve SETTINGS", exitDone, "")
	if len(session.served) != 1 || session.served[0].Name != "entry-1" {
		t.Errorf("served %+v", session.served)
	}
}

func TestStatus(t *testing.T) {
	report := status.Report{
		At:     time.Unix(0, 0).UTC(),
		Daemon: status.Daemon{Name: "entry-1", DataCentre: "fukuoka", Ready: true, Build: "c0ffee", Protocol: 2},
		Peers: []status.Peer{
			{Name: "entry-3", Build: "f00d", Protocol: 1, HeardAgo: 3 * time.Second}, {Name: "entry-4", HeardAgo: 2 * time.Second},
		},
		InForce:   status.InForce{Known: true, Number: 7, Models: 4, Behind: []string{"entry-4"}},
		Decider:   status.Decider{Name: "entry-2"},
		Platform:  status.Platform{TablesAwayFor: 90 * time.Second},
		Replicas:  []status.Replica{{Model: "round-assistant", Version: "1", Phase: "Ready", Use: "idle", HeardAgo: 1200 * time.Millisecond}},
		Upstreams: []status.Upstream{{Name: "engine-1", Kind: "Engine", Release: "engine-2.4.1", Capacity: 80 << 30, Used: 38 << 30}},
		Refusals:  []status.Refusal{{Kind: "QueueFull", Count: 3}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/status" {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(writer).Encode(report)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	session := newSession(t)
	for _, part := range []string{
		"number 7 with 4 models", "Not yet in force at: entry-4", "Decider: entry-2", "could not be read for 1m30s",
		"1.2s ago", "engine-2.4.1", "38GiB", "QueueFull", "never",
		"Build c0ffee, protocol 2.", "f00d   1         3s ago", "-      -         2s ago",
	} {
		session.expect("status SETTINGS --address "+address, exitDone, part)
	}
	session.expect("--output json status SETTINGS --address "+address, exitDone, `"Number": 7`)
	session.expect("status SETTINGS --address localhost:1", exitUsage, "is not an IP address and port")
	server.Close()
	session.expect("status SETTINGS --address "+address, exitUnavailable, "no answer from "+address)
}

func TestDocsNameEveryCommandAndExitCode(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", "COMMANDS.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	parser, err := kong.New(&commands{})
	if err != nil {
		t.Fatal(err)
	}
	for _, leaf := range parser.Model.Leaves(true) {
		if !strings.Contains(page, "\n| "+leaf.Path()+" ") {
			t.Errorf("docs/COMMANDS.md lacks the command %s", leaf.Path())
		}
	}
	for code := exitDone; code <= exitUnavailable; code++ {
		if !strings.Contains(page, fmt.Sprintf("\n| %d |", code)) {
			t.Errorf("docs/COMMANDS.md lacks the exit code %d", code)
		}
	}
}
