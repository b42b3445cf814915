package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/network"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// TestBodyThatNeverEndsIsRefused covers a caller that sends its body byte by byte for longer than its request may wait.
// A slow caller that stays within that time is served, and the time does not bound the response.
func TestBodyThatNeverEndsIsRefused(t *testing.T) {
	const body = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for name, test := range map[string]struct {
		interval time.Duration
		status   int
		longest  time.Duration
	}{
		"in time":  {20 * time.Millisecond, http.StatusOK, 7 * time.Second},
		"too late": {time.Second, http.StatusGatewayTimeout, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := &fakeRunner{response: func(ctx context.Context, sink request.Sink) error {
					time.Sleep(5 * time.Second)
					if ctx.Err() != nil {
						return outcome.New(outcome.CallerGone, "the context ended")
					}
					return sink.Begin(http.StatusOK, contentJSON)
				}}
				listener := network.NewPipe()
				server := &http.Server{Handler: newTestGateway(t, runner)}
				go func() { _ = server.Serve(listener) }()
				transport := &http.Transport{DialContext: listener.Dial}
				reader, writer := io.Pipe()
				var writing sync.WaitGroup
				writing.Go(func() {
					defer writer.Close()
					for index := range body {
						time.Sleep(test.interval)
						if _, err := writer.Write([]byte{body[index]}); err != nil {
							return
						}
					}
				})
				begun := time.Now()
				sent, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://gateway"+chatPath, reader)
				sent.Header.Set("Authorization", "Bearer "+key)
				response, err := transport.RoundTrip(sent)
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(begun); response.StatusCode != test.status || took > test.longest {
					t.Errorf("status %d after %v, want %d", response.StatusCode, took, test.status)
				}
				_ = response.Body.Close()
				_ = reader.Close()
				transport.CloseIdleConnections()
				_ = server.Close()
				writing.Wait()
			})
		})
	}
}
