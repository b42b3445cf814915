package protocol

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
	"sync"
)

const (
	// unknownBuild is the name of a build of which nothing is recorded.
	unknownBuild = "unknown"
	// buildIDSection is the section in which the linker records the build ID.
	buildIDSection = ".note.go.buildid"
	// contentIDLength is the number of characters that are kept of the build ID.
	contentIDLength = 12
)

// Build returns what tells this build from others, for operators: the source revision of the program, or the begin of the hash of
// its content if the build did not record the revision, or "unknown". The first call reads headers of the program's file.
var Build = sync.OnceValue(func() string {
	if revision := Revision(); revision != "" {
		return revision
	}
	if id := contentID(); id != "" {
		return id
	}
	return unknownBuild
})

// Revision returns the source revision of the program, or an empty string if the build did not record it.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}

// contentID returns the begin of the last part of the program's build ID, which is a hash of its content, or an empty string if the
// program's file has none or cannot be read.
func contentID() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	program, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer program.Close()
	section := program.Section(buildIDSection)
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil {
		return ""
	}
	return lastPart(note)
}

// lastPart returns the begin of the last part of the build ID in the note, whose parts are separated by slashes, or an empty string
// if it has no part of that length.
func lastPart(note []byte) string {
	id := bytes.TrimRight(note, "\x00")
	part := id[bytes.LastIndexByte(id, '/')+1:]
	if len(part) < contentIDLength || len(part) == len(id) {
		return ""
	}
	return string(part[:contentIDLength])
}
