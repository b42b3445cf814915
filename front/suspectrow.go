package front

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/openjson"
	"github.com/bronzestall/bronzestall/quarantine"
)

// decodeSuspect decodes a row of the suspect table. The row has no time of writing, since the clocks of
// daemons differ; the suspect is therefore kept for the whole retention time from now on.
func decodeSuspect(row datastore.Row, now time.Time) (quarantine.Suspect, error) {
	suspect, _, err := decodeSuspectRow(row, now)
	return suspect, err
}

// decodeSuspectRow decodes a row as decodeSuspect does, and returns what a later build wrote there too.
func decodeSuspectRow(row datastore.Row, now time.Time) (quarantine.Suspect, openjson.Rest, error) {
	kind := quarantine.WholeRequest
	digits, isPart := strings.CutPrefix(row.Row, partRowPrefix)
	if isPart {
		kind = quarantine.PromptPart
	}
	fingerprint, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return quarantine.Suspect{}, "", trace.BadParameter("row key is not a hexadecimal fingerprint")
	}
	var content suspectContent
	rest, err := openjson.Decode(row.Value, &content)
	if err != nil {
		return quarantine.Suspect{}, "", trace.Wrap(err)
	}
	return quarantine.Suspect{
		Kind:        kind,
		Fingerprint: fingerprint,
		Crashes:     content.Crashes,
		Times:       content.times(now),
		Cleared:     content.Cleared,
		Retracted:   content.Retracted,
		Until:       now.Add(quarantine.Retention),
	}, rest, nil
}

// suspectContent is the value of a row of the suspect table.
type suspectContent struct {
	Crashes []quarantine.Crash
	// Ages lists the ages of the crashes in ms when the row was written, in their order; -1 stands for an unknown one. The
	// differences tell which crashes were one occasion.
	Ages      []int64            `json:",omitempty"`
	Cleared   []quarantine.Crash `json:",omitempty"`
	Retracted []quarantine.Crash `json:",omitempty"`
}

// newSuspectContent returns the value of the row of the suspect.
func newSuspectContent(suspect quarantine.Suspect, now time.Time) suspectContent {
	content := suspectContent{Crashes: suspect.Crashes, Cleared: suspect.Cleared, Retracted: suspect.Retracted}
	for _, seen := range suspect.Times {
		age := int64(-1)
		if !seen.At.IsZero() {
			age = max(now.Sub(seen.At), 0).Milliseconds()
		}
		content.Ages = append(content.Ages, age)
	}
	return content
}

// times returns when the crashes were seen, as if the row had been written now.
func (content *suspectContent) times(now time.Time) []quarantine.CrashTime {
	var times []quarantine.CrashTime
	for _, age := range content.Ages[:min(len(content.Ages), len(content.Crashes))] {
		seen := quarantine.CrashTime{}
		if age >= 0 && age <= quarantine.Retention.Milliseconds() {
			seen.At = now.Add(-time.Duration(age) * time.Millisecond)
		}
		times = append(times, seen)
	}
	return times
}

// suspectKey returns the key of the row of a suspect.
func suspectKey(suspect quarantine.Suspect) datastore.Key {
	row := strconv.FormatUint(suspect.Fingerprint, 16)
	if suspect.Kind == quarantine.PromptPart {
		row = partRowPrefix + row
	}
	return datastore.Key{Table: suspectTable, Row: row}
}

// removeExpiredRows deletes the rows that have not changed for the retention time, after which every daemon
// has dropped the suspect. Only the first daemon by name does so.
func (daemon *Daemon) removeExpiredRows(ctx context.Context) {
	if daemon.daemonIndex.Load() != 0 {
		return
	}
	for row, version := range daemon.suspectRows.expired(quarantine.Retention, daemon.clock.Now()) {
		// A row that could not be deleted stays for the next time.
		_ = daemon.deleteRow(ctx, daemon.suspectRows, row, version)
	}
}
