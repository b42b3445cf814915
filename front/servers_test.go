package front

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"
)

// TestRequestAcceptedBeforeShutdownIsAnswered covers a planned shutdown under load: a request that was
// accepted just before the listeners close must be answered.
func TestRequestAcceptedBeforeShutdownIsAnswered(t *testing.T) {
	accepted := make(chan struct{})
	clients := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(accepted)
		time.Sleep(50 * time.Millisecond)
		writer.WriteHeader(http.StatusServiceUnavailable)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := newServers(clients, listener)
	var group errgroup.Group
	opened.serve(&group)
	group.Go(func() error {
		<-accepted
		opened.drain(10*time.Second, clock.RealClock{})
		opened.close()
		return nil
	})
	response, err := http.Get("http://" + listener.Addr().String() + "/")
	if err != nil {
		t.Fatalf("request was not answered: %v", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status = %d, want 503", response.StatusCode)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
