package main

import (
	"runtime/debug"
)

// versionCommand shows the version of the program.
type versionCommand struct{}

// buildInfo is the version of the program; a part that the build did not record is "unknown".
type buildInfo struct {
	Version  string
	Revision string
	Go       string
}

// Run prints the version, the source revision and the Go version of the build.
func (*versionCommand) Run(printer *printer) error {
	info := readBuildInfo()
	printer.print(info, func(page *page) {
		page.line("bronzestall %s, revision %s, %s", info.Version, info.Revision, info.Go)
	})
	return nil
}

func readBuildInfo() buildInfo {
	info := buildInfo{Version: "unknown", Revision: "unknown", Go: "unknown"}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	info.Version = build.Main.Version
	info.Go = build.GoVersion
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			info.Revision = setting.Value
		}
	}
	return info
}
