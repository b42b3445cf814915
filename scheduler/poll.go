package scheduler

import (
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh"
)

// The pause between two announcements to a daemon whose requests do not wait for a model. It grows with the number
// of daemons, so that the holder sends about as many announcements a second whatever that number is.
const (
	announceStep = 2 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// poll is a daemon that waits for an announcement.
type poll struct {
	report mesh.Report
	timer  clock.Timer
	// rest is what is left of the wait once the pause is over.
	rest time.Duration
	// rested states that the pause is over, and over that the wait is.
	rested, over bool
}

// poll begins the wait of the daemon that sent the report. A report of demand is answered without a pause.
func (scheduler *Scheduler) poll(report mesh.Report) poll {
	scheduler.mutex.Lock()
	pause := min(time.Duration(len(scheduler.ledger.reports))*announceStep, longestPause, report.Wait)
	scheduler.mutex.Unlock()
	if !report.PollOnly {
		return poll{report: report, timer: scheduler.deps.Clock.NewTimer(report.Wait), rested: true, over: report.Wait <= 0}
	}
	return poll{report: report, timer: scheduler.deps.Clock.NewTimer(pause), rest: report.Wait - pause}
}

// pass notes that the timer has fired: the pause is over, or the wait.
func (poll *poll) pass() {
	if poll.rested || poll.rest <= 0 {
		poll.over = true
		return
	}
	poll.rested = true
	poll.timer.Reset(poll.rest)
}

// news returns the newest announcement, a channel that is closed at the next one, and whether the daemon is to
// be told now: at once if its requests wait for a model, after the pause otherwise.
func (scheduler *Scheduler) news(poll *poll) (directory.Announcement, <-chan struct{}, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	report := &poll.report
	announced := scheduler.announced
	if !report.PollOnly && !report.Partial {
		announced.InFlight = scheduler.ledger.others(report.Name)
	}
	newer := announced.Revision > 0 && announced.IsNewerThan(report.Fence, report.Revision)
	urgent := poll.rested || report.Fence != announced.Fence || scheduler.ledger.waiting[report.Name]
	return announced, scheduler.changed, newer && urgent
}
