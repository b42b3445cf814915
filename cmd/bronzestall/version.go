package main

import (
	"cmp"
	"runtime/debug"

	"github.com/bronzestall/bronzestall/protocol"
)

// unknown stands for what the build did not record.
const unknown = "unknown"

// versionCommand shows the version of the program.
type versionCommand struct{}

// buildInfo is the version of the program; a part that the build did not record is "unknown".
type buildInfo struct {
	Version  string
	Revision string
	// Build tells the build from others, as the status of daemons and their metrics name it.
	Build string
	Go    string
}

// Run prints the version, the source revision, the build and the Go version.
func (*versionCommand) Run(printer *printer) error {
	info := readBuildInfo()
	printer.print(info, func(page *page) {
		page.line("bronzestall %s, revision %s, build %s, %s", info.Version, info.Revision, info.Build, info.Go)
	})
	return nil
}

func readBuildInfo() buildInfo {
	info := buildInfo{Version: unknown, Revision: cmp.Or(protocol.Revision(), unknown), Build: protocol.Build(), Go: unknown}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Version, info.Go = build.Main.Version, build.GoVersion
	}
	return info
}
