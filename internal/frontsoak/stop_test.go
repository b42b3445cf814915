package frontsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopRunTime is the time that a plain service takes for a call in the test of a planned stop.
const stopRunTime = 400 * time.Millisecond

// TestStopCutsNoRequestThatWasPassedOn guards against a report in issue 42: in a planned stop, requests that came late in the
// grace were passed on and then cut with no answer. Clients keep using their open connections until the process is gone.
func TestStopCutsNoRequestThatWasPassedOn(t *testing.T) {
	folder := t.TempDir()
	testbed, stop := startTestbed(t, folder, build(t), 5400)
	defer stop()
	for _, replica := range testbed.replicas {
		replica.withLock(func() { replica.runTime = stopRunTime })
	}
	time.Sleep(3 * time.Second)
	stopped := testbed.fronts[0]
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() { stopped.signal(syscall.SIGTERM) })
	var mutex sync.Mutex
	unanswered := map[string]error{}
	answered, refused := 0, 0
	var clients sync.WaitGroup
	for number := range 12 {
		clients.Go(func() {
			connection := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for count := 0; ctx.Err() == nil; count++ {
				id := fmt.Sprintf("call-stop%d-%d@front-0", number, count)
				status, err := sendCall(connection, stopped.client, id)
				mutex.Lock()
				switch {
				case err != nil:
					unanswered[id] = err
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
	t.Logf("%d answered, %d refused, %d without an answer", answered, refused, len(unanswered))
	testbed.checker.mutex.Lock()
	defer testbed.checker.mutex.Unlock()
	for id, err := range unanswered {
		if testbed.checker.executions[id] > 0 {
			t.Errorf("%s ran and got no answer: %v", id, err)
		}
	}
	if answered < 20 {
		t.Errorf("only %d requests were answered", answered)
	}
}

// sendCall sends a call that may run once and returns the status of its complete response.
func sendCall(client *http.Client, address, id string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+pathCall+"x", strings.NewReader("body of "+id))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", "4000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
