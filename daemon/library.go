package daemon

import (
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
)

// forceQuitMargin is added to the time of a planned stop before go-zero ends the process.
const forceQuitMargin = time.Minute

// quietLibrary silences the logs of go-zero and keeps it from ending the process during a planned stop.
func quietLibrary(stopWithin time.Duration) {
	logx.Disable()
	logx.DisableStat()
	proc.SetTimeToForceQuit(stopWithin + forceQuitMargin)
}
