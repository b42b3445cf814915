package origin

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// rare makes a step of those that change everything.
func (history *history) rare() {
	switch history.random.IntN(5) {
	case 0:
		history.endRollout()
	case 1:
		history.startAll()
	case 2:
		history.replaceWhileDown()
	case 3:
		history.restoreWhileDown()
	}
}

// startAll ends all daemons and starts them again.
func (history *history) startAll() {
	for every := range history.daemons {
		history.start(every)
	}
}

// quietStreams is the number of streams that begin while only one release serves and no other is recorded.
const quietStreams = 3

// replaceWhileDown lets one release serve for so long that no other is recorded, and ends all daemons. They start again after a newer
// release has replaced it, and some streams are taken up.
func (history *history) replaceWhileDown() {
	history.becomeQuiet()
	for range quietStreams {
		history.begin(false)
	}
	history.changes++
	for len(history.serving) > 0 {
		history.leave(0)
	}
	history.count++
	history.serving = []string{fmt.Sprint("v", history.count)}
	history.startAll()
	history.takeUpSome()
}

// rewriteTime is how long rows that a copy of the store lacked stay absent.
const rewriteTime = 2 * time.Second

// restoreWhileDown lets a newer release join one that serves alone, ends all daemons, and starts them again when the store has come back
// from a copy of before. Streams are taken up before the rows are written again that the copy lacked, and after that.
func (history *history) restoreWhileDown() {
	history.becomeQuiet()
	rows, inventory := maps.Clone(history.rows), history.inventory
	history.count++
	history.changes++
	newer := fmt.Sprint("v", history.count)
	history.serving = append(slices.Clone(history.serving), newer)
	history.readAllTables()
	for range 2 * quietStreams {
		history.begin(true)
	}
	history.rows, history.inventory, history.lacking = rows, inventory, []string{newer}
	history.era++
	history.startAll()
	history.takeUpSome()
	history.lacking = nil
	history.now = history.now.Add(2 * rewriteTime)
	history.readAllTables()
	history.takeUpSome()
}

// becomeQuiet lets one release serve for so long that no other is recorded.
func (history *history) becomeQuiet() {
	history.endRollout()
	history.endRollout()
	history.expire()
}

// takeUpSome takes some streams up.
func (history *history) takeUpSome() {
	for range quietStreams {
		history.takeUp()
	}
}

// readAllTables makes all daemons read the table.
func (history *history) readAllTables() {
	for _, member := range history.daemons {
		member.readTable()
	}
}
