// Package protocol compares the protocol versions that daemons tell each other, and names the build for operators.
//
// A daemon tells its version in each message that may be the first to another daemon: its greetings, the requests that it lends and its
// exchanges. The version rises by one with each promise between daemons that comes into force only where both know it; formats
// grow without it (docs/design/upgrades.md). Daemons of builds before the versions tell none.
package protocol
