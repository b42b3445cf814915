// Command bronzestall runs the daemons that serve rarely used models, and checks, applies and shows
// release notes, settings files and the status of daemons.
//
// docs/COMMANDS.md describes the commands and their exit codes.
package main
