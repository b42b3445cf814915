package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/request"
)

// eventStreamType is the content type of server-sent events.
const eventStreamType = "text/event-stream"

// Generate sends the request. The stream lives at most as long as the context.
func (client *Client) Generate(ctx context.Context, generation Generation) (Stream, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	watch := newSilence(client.clock, client.settings.StallTimeout, func() {
		cancel()
		client.wire.Close()
	})
	watch.listen()
	go watch.watch(ctx)
	response, err := client.send(ctx, watch, generation)
	if err != nil {
		cancel()
		return nil, withSilence(watch, SendError(err))
	}
	watch.rest()
	answer := &body{parent: parent, cancel: cancel, watch: watch, response: response}
	stream, err := client.open(answer, generation)
	if err != nil {
		answer.close()
		return nil, err
	}
	return stream, nil
}

// withSilence turns a failure into ErrSilent if the silence caused it and something may have been sent.
func withSilence(watch *silence, err error) error {
	if watch.fired.Load() && !isNotSent(err) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return err
}

func (client *Client) send(ctx context.Context, watch *silence, generation Generation) (*http.Response, error) {
	heard := &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			watch.listen()
			return nil
		},
	}
	ctx = httptrace.WithClientTrace(ctx, heard)
	address := "http://" + client.settings.Address + path(generation.Request.Form)
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	setHeaders(message.Header, generation)
	return client.wire.Do(ctx, message, generation.Request.Body)
}

func path(form request.API) string {
	if form == request.Completion {
		return "/v1/completions"
	}
	return "/v1/chat/completions"
}

func setHeaders(header http.Header, generation Generation) {
	asked := generation.Request
	header.Set("Content-Type", "application/json")
	header.Set(requestIDHeader, asked.ID)
	header.Set("X-Priority", strconv.Itoa(asked.Priority))
	header.Set("X-Model-Version", generation.Version)
	if asked.Prefix != 0 {
		header.Set("X-Prefix", strconv.FormatUint(asked.Prefix, 16))
	}
	if generation.ResumeAfter > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(generation.ResumeAfter))
	}
}

// open checks the head of the answer and returns its stream.
func (client *Client) open(answer *body, generation Generation) (Stream, error) {
	response := answer.response
	id := generation.Request.ID
	if got := response.Header.Get(requestIDHeader); got != id {
		return nil, fmt.Errorf("%w: got %q", ErrMismatched, got)
	}
	if response.Header.Get(outcomeHeader) == outcomeNotRun {
		return nil, refused(answer)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, fmt.Errorf("%w: status %s", ErrNoResponse, response.Status)
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType) {
		return newEventStream(answer, id, generation.ResumeAfter), nil
	}
	return &wholeStream{body: answer, id: id, limit: client.settings.MaxBody}, nil
}

// refused reads the reason of a refusal. The status line and header are proof without it.
func refused(answer *body) error {
	content, _ := readAll(answer.response, maxRefusal)
	var told struct{ Reason string }
	_ = json.Unmarshal(content, &told)
	return &RefusedError{Status: answer.response.StatusCode, Reason: told.Reason}
}
