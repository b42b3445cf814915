package daemon

import (
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
)

// forceQuitMargin is added to the time of an orderly shutdown before go-zero ends the process.
const forceQuitMargin = time.Minute

// configureGoZero disables the logs of go-zero and delays its forced exit, which would otherwise end the
// process during an orderly shutdown. shutdownLimit is the longest time that a shutdown takes.
func configureGoZero(shutdownLimit time.Duration) {
	logx.Disable()
	logx.DisableStat()
	proc.SetTimeToForceQuit(shutdownLimit + forceQuitMargin)
}
