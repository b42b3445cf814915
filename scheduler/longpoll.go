package scheduler

import (
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh"
)

// The pause between two announcements to a daemon without requests waiting for a model. It grows with the number
// of daemons, which keeps the announcements sent per second about constant.
const (
	announcePausePerDaemon = 2 * time.Millisecond
	maxAnnouncePause       = 500 * time.Millisecond
)

// longPoll is the call of a daemon that waits for an announcement.
type longPoll struct {
	report mesh.Report
	timer  clock.Timer
	// remaining is the part of the wait that follows the pause.
	remaining time.Duration
	// pauseOver is set once the pause has ended, and timedOut once the whole wait has.
	pauseOver, timedOut bool
}

// newLongPoll starts the wait for a report. A report that carries demand is answered without a pause.
func (scheduler *Scheduler) newLongPoll(report mesh.Report) longPoll {
	scheduler.mutex.Lock()
	pause := min(time.Duration(len(scheduler.aggregator.reports))*announcePausePerDaemon, maxAnnouncePause, report.Wait)
	scheduler.mutex.Unlock()
	if !report.PollOnly {
		return longPoll{report: report, timer: scheduler.deps.Clock.NewTimer(report.Wait), pauseOver: true, timedOut: report.Wait <= 0}
	}
	return longPoll{report: report, timer: scheduler.deps.Clock.NewTimer(pause), remaining: report.Wait - pause}
}

// timerFired records the end of the pause or, after that, of the wait.
func (poll *longPoll) timerFired() {
	if poll.pauseOver || poll.remaining <= 0 {
		poll.timedOut = true
		return
	}
	poll.pauseOver = true
	poll.timer.Reset(poll.remaining)
}

// nextAnnouncement returns the newest announcement, a channel that is closed at the next one, and whether to
// return it to the daemon now. A daemon with requests waiting for a model gets it at once, others after the pause.
func (scheduler *Scheduler) nextAnnouncement(poll *longPoll) (directory.Announcement, <-chan struct{}, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	report := &poll.report
	announced := scheduler.announced
	if !report.PollOnly && !report.Partial {
		announced.InFlight = scheduler.aggregator.inFlightOfOthers(report.Name)
		announced.Paces = scheduler.aggregator.paces.Values(scheduler.deps.Clock.Now())
	}
	newer := announced.Revision > 0 && announced.IsNewerThan(report.Fence, report.Revision)
	due := poll.pauseOver || report.Fence != announced.Fence || scheduler.aggregator.waiting[report.Name]
	return announced, scheduler.changed, newer && due
}
