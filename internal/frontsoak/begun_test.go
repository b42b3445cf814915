package frontsoak

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// givenUpLine matches the last line of a begun stream that may be resumed and was given up after it ran on one replica, of two that
// its route allows, less than a second after its last event. Streams whose release has no replica left, and those that are refused for their crashes, end like that for a
// reason that their Cause names.
var givenUpLine = regexp.MustCompile(`"RequestUpstreamLost".* Route="/resume/".* Runs=1 .* Silent="(0s|[0-9.]+(ms|µs))".* Begun=true .*`)

// allowedCause matches the causes that end a begun stream although it may run once more.
var allowedCause = regexp.MustCompile(`release|crashed replicas|has no such model`)

// givenUp returns the lines of the daemons' logs that tell of a begun stream which the daemon gave up without a need.
func givenUp(t *testing.T, folder string) []string {
	t.Helper()
	var found []string
	eachLogLine(t, folder, func(_, line string) {
		if givenUpLine.MatchString(line) && !allowedCause.MatchString(line) {
			found = append(found, "a begun stream was given up: "+line)
		}
	})
	return found
}

// TestGivenUpStreamsAreFound checks the judge on lines of logs.
func TestGivenUpStreamsAreFound(t *testing.T) {
	lines := map[string]int{
		`"RequestUpstreamLost" Number=326 Request="a" Route="/resume/" Sends=1 Runs=1 EndedBy="Replica" Silent="12ms" Begun=true Cause="UpstreamLost: reset"`:                                  1,
		`"RequestUpstreamLost" Number=326 Request="a" Route="/resume/" Sends=2 Runs=2 EndedBy="Replica" Silent="12ms" Begun=true Cause="UpstreamLost: reset"`:                                  0,
		`"RequestUpstreamLost" Number=326 Request="a" Route="/stream/" Sends=1 Runs=1 EndedBy="Replica" Silent="12ms" Begun=true Cause="UpstreamLost: reset"`:                                  0,
		`"RequestUpstreamLost" Number=326 Request="a" Route="/resume/" Sends=1 Runs=1 EndedBy="Replica" Silent="12ms" Begun=false Cause="UpstreamLost: reset"`:                                 0,
		`"RequestCallerGone" Number=301 Request="a" Route="/resume/" Sends=1 Runs=1 EndedBy="Client" Silent="12ms" Begun=true Cause="CallerGone: the client closed"`:                           0,
		`"RequestUpstreamLost" Number=326 Request="a" Route="/resume/" Sends=1 Runs=1 EndedBy="Replica" Silent="12ms" Begun=true Cause="NoReplica: no replica of release v1, which began it"`:  0,
		`"RequestUpstreamLost" Number=326 Request="a" Route="/resume/" Sends=1 Runs=1 EndedBy="Replica" Silent="12ms" Begun=true Cause="Quarantined: earlier sendings crashed replicas: Part"`: 0,
		`"RequestUpstreamLost" Number=326 Request="a" Route="/resume/" Sends=1 Runs=1 EndedBy="Replica" Silent="1.2s" Begun=true Cause="UpstreamLost: reset"`:                                  0,
	}
	for line, want := range lines {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "front-0.log"), []byte(line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := givenUp(t, folder); len(got) != want {
			t.Errorf("%d found in %s, want %d", len(got), line, want)
		}
	}
}
