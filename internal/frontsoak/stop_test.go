package frontsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// stopRunTime is the time that a plain service takes for a call in the test of a planned stop.
	stopRunTime = 400 * time.Millisecond
	// lossSlack is the time after a request was written within which a daemon that stops may close its connection, if the request
	// crosses the close.
	lossSlack = 200 * time.Millisecond
)

// unanswered is a request that got no answer.
type unanswered struct {
	err error
	// wrote is when its last byte was written, zero if it was not written whole, and ended when its connection ended.
	wrote, ended time.Time
}

// TestStopCutsNoRequestThatWasPassedOn guards against a report in issue 42: in a planned stop, requests that came late in the
// grace were passed on and then cut with no answer. Clients keep using their open connections until the process is gone.
func TestStopCutsNoRequestThatWasPassedOn(t *testing.T) {
	testbed, stop := newServingTestbed(t, build(t), 5400, 3*time.Second)
	defer stop()
	for _, replica := range testbed.replicas {
		replica.withLock(func() { replica.runTime = stopRunTime })
	}
	stopped := testbed.fronts[0]
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() { stopped.signal(syscall.SIGTERM) })
	var mutex sync.Mutex
	lost := map[string]unanswered{}
	answered, refused, written := 0, 0, 0
	var clients sync.WaitGroup
	for number := range 12 {
		clients.Go(func() {
			connection := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for count := 0; ctx.Err() == nil; count++ {
				id := fmt.Sprintf("call-stop%d-%d@front-0", number, count)
				status, wrote, err := sendCall(connection, stopped.client, id)
				mutex.Lock()
				switch {
				case err != nil:
					lost[id] = unanswered{err, wrote, time.Now()}
				case status == http.StatusOK:
					answered++
				default:
					refused++
				}
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	testbed.checker.mutex.Lock()
	defer testbed.checker.mutex.Unlock()
	for id, end := range lost {
		if testbed.checker.executions[id] > 0 {
			t.Errorf("%s ran and got no answer: %v", id, end.err)
		}
		if end.wrote.IsZero() {
			continue
		}
		written++
		if held := end.ended.Sub(end.wrote); held > lossSlack {
			t.Errorf("%s was written whole, held for %v and got no answer: %v", id, held, end.err)
		}
	}
	t.Logf("%d answered, %d refused, %d without an answer, %d of these written whole", answered, refused, len(lost), written)
	if answered < 20 {
		t.Errorf("only %d requests were answered", answered)
	}
}

// sendCall sends a call that may run once. It returns the status of its complete response, and when its last byte was written, zero
// if it was not written whole.
func sendCall(client *http.Client, address, id string) (int, time.Time, error) {
	var wrote atomic.Pointer[time.Time]
	wrote.Store(&time.Time{})
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			now := time.Now()
			wrote.Store(&now)
		}
	}}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathCall+"x", strings.NewReader("body of "+id))
	if err != nil {
		return 0, time.Time{}, err
	}
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", "4000")
	response, err := client.Do(request)
	if err != nil {
		return 0, *wrote.Load(), err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, *wrote.Load(), err
}
