// Command protogen replaces protoc where it is not installed: it writes the request for the plugin
// protoc-gen-go and the files of its response.
//
//	protogen request FILE.proto | protoc-gen-go | protogen write DIRECTORY
//
// It supports the part of the language that this module uses: proto3, messages
// without nesting, scalar and message fields, repeated fields and comments.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: protogen request FILE.proto | protogen write DIRECTORY")
	}
	switch args[0] {
	case "request":
		return writeRequest(args[1], os.Stdout)
	case "write":
		return writeFiles(os.Stdin, args[1])
	default:
		return fmt.Errorf("unknown command %q", args[0])
	}
}
