package frontsoak

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// crashMark begins the body of a request that ends each replica that begins to run it.
	crashMark = "crash "
	// crashDown is how long a replica is away after such a request.
	crashDown = 600 * time.Millisecond
	// crashLimit is the number of replicas that may end before the request has to be refused everywhere, within
	// crashNotice; crashSpare of its retries may reach replicas after that.
	crashLimit  = 3
	crashNotice = 3 * time.Second
	crashSpare  = 3
	// crashEvery is the pause between two retries of such a request, and crashTime how long it is repeated.
	crashEvery = 700 * time.Millisecond
	crashTime  = 14 * time.Second
)

// crashRun is what a crash request did.
type crashRun struct {
	// ends is the number of replicas that it ended, and third when it ended the third one.
	ends  int
	third time.Time
	// late counts the sendings that reached replicas later than crashNotice after the third end.
	late int
}

// arrived notes that a request reached a replica and reports whether it is a crash request.
func (judge *judge) arrived(id, body string, now time.Time) bool {
	if !strings.HasPrefix(body, crashMark) {
		return false
	}
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	run := judge.crashes[body]
	if run.ends >= crashLimit && now.Sub(run.third) > crashNotice && judge.inTouch(daemonOf(id), now) {
		run.late++
	}
	judge.crashes[body] = run
	return true
}

// crashed notes that the request ended a replica.
func (judge *judge) crashed(body string, now time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	run := judge.crashes[body]
	run.ends++
	if run.ends == crashLimit {
		run.third = now
	}
	judge.crashes[body] = run
}

// crashVerdict notes the crash requests that reached too many replicas. The mutex is held.
func (judge *judge) crashVerdict() {
	for body, run := range judge.crashes {
		if run.late > crashSpare {
			judge.note("%q reached replicas %d times after it had ended three for %v; %d ended in all", body, run.late, crashNotice, run.ends)
		}
	}
}

// repeatCrash sends the crash request again and again, each time to another daemon.
func (world *world) repeatCrash(ctx context.Context, kind, name string) {
	addresses := world.addresses()
	client := newClient(name, world.judge, 1, addresses)
	for count := 0; ctx.Err() == nil; count++ {
		client.sendBody(ctx, kind, addresses[count%len(addresses)], crashMark+name)
		time.Sleep(crashEvery)
	}
}

// TestCrashRequestIsRefusedByAllDaemons guards against issue 22: a request under which three replicas had ended was
// sent on by daemons that had not seen these ends themselves, or that had started again since.
func TestCrashRequestIsRefusedByAllDaemons(t *testing.T) {
	cases := []struct {
		name, kind string
		// killAt is when all daemons are killed, zero for never.
		killAt time.Duration
	}{
		{"stream that may run once", pathStream, 0},
		{"resumable stream", pathResume, 0},
		{"call", pathCall, 0},
		{"daemons start again", pathStream, 6 * time.Second},
	}
	binary := build(t)
	for index, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			world, end := startWorld(t, folder, binary, 5000+uint64(index))
			defer end()
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), crashTime)
			defer cancel()
			if c.killAt > 0 {
				time.AfterFunc(c.killAt, func() { world.signalAll(syscall.SIGKILL) })
			}
			world.repeatCrash(ctx, c.kind, strings.Fields(c.name)[0])
			t.Logf("outcomes %v, %+v", world.judge.outcomes, world.judge.crashes)
			for _, breach := range world.judge.verdict() {
				t.Error(breach)
			}
			if t.Failed() {
				keepLogs(t, folder, 5000+uint64(index))
			}
		})
	}
}

// signalAll sends a signal to all daemons.
func (world *world) signalAll(signal syscall.Signal) {
	for _, front := range world.fronts {
		front.signal(signal)
	}
}

// crashes reports whether the run of the body ends the replica, and ends it then.
func (replica *replica) crashes(id, body string) bool {
	if !replica.judge.arrived(id, body, time.Now()) {
		return false
	}
	replica.judge.crashed(body, time.Now())
	replica.crash(crashDown)
	return true
}
