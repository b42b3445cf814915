// Command bronzestall serves rarely used models and applies release notes.
//
// docs/COMMANDS.md describes the commands and their exit codes.
package main
