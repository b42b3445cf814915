package connection

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/reach"
)

// recorder is an Observer that records what it is told.
type recorder struct {
	mutex sync.Mutex
	told  []string
}

func (recorder *recorder) record(text string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.told = append(recorder.told, text)
}

func (recorder *recorder) Began(string, time.Time) { recorder.record("Began") }
func (recorder *recorder) Ended(string, time.Time) { recorder.record("Ended") }
func (recorder *recorder) Reached(string)          { recorder.record("Reached") }
func (recorder *recorder) Failed(_ string, failure reach.Failure, _ time.Time) {
	recorder.record(failure.String())
}

// TestOnlyBytesProveAPath guards against issue 49: a connection that was opened passed for a proof that it leads to the upstream.
func TestOnlyBytesProveAPath(t *testing.T) {
	silent := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	// The reset comes after a byte, since one that comes while the connection is opened is a failure to open it.
	resetting := func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	for name, c := range map[string]struct {
		serve func(c net.Conn)
		calls int
		want  []string
	}{
		"a response":                   {func(c net.Conn) { serveScript(c, []string{first}) }, 1, []string{"Began", "Reached", "Ended"}},
		"nothing comes":                {silent, 1, []string{"Began", "Ended"}},
		"reset":                        {resetting, 1, []string{"Began", "Reset", "Ended"}},
		"closed without a byte":        {func(c net.Conn) { serveScript(c, []string{""}) }, 1, []string{"Began", "Reset", "Ended"}},
		"what is no response":          {func(c net.Conn) { serveScript(c, []string{"garbage\r\n\r\n"}) }, 1, []string{"Began", "Reached", "Ended"}},
		"closed after a used exchange": {func(c net.Conn) { serveScript(c, []string{first, ""}) }, 2, []string{"Began", "Reached", "Ended", "Began", "Ended"}},
	} {
		t.Run(name, func(t *testing.T) {
			observer := &recorder{}
			pool := New(Settings{Observer: observer}, clock.RealClock{})
			address := listen(t, c.serve)
			for range c.calls {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				if response, err := pool.Do(ctx, Call{Key: "k", Address: address, Method: "GET", Target: "/", Host: "h"}); err == nil {
					_, _ = response.Body.Read(make([]byte, 16))
					_, _ = response.Body.Read(make([]byte, 16))
				}
				cancel()
			}
			if !slices.Equal(observer.told, c.want) {
				t.Errorf("told %v, want %v", observer.told, c.want)
			}
		})
	}
}

// TestConnectionsThatAreNotOpened covers the kinds of failures to open a connection. A daemon that stands still notices a timeout late,
// which guards against paths that counted as closed since the daemon itself had paused.
func TestConnectionsThatAreNotOpened(t *testing.T) {
	observer := &recorder{}
	if _, err := get(New(Settings{Observer: observer}, clock.RealClock{}), "127.0.0.1:1", "1"); err == nil {
		t.Fatal("got a response")
	}
	synctest.Test(t, func(t *testing.T) {
		for _, pause := range []time.Duration{0, lateness - time.Millisecond, lateness} {
			hanging := func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				time.Sleep(pause)
				return nil, ctx.Err()
			}
			if _, err := get(New(Settings{Observer: observer, Dial: hanging}, clock.RealClock{}), "", "1"); err == nil {
				t.Fatal("got a response")
			}
		}
	})
	if want := []string{"Refused", "NotOpened", "NotOpened", "LateTimeout"}; !slices.Equal(observer.told, want) {
		t.Errorf("told %v, want %v", observer.told, want)
	}
}
