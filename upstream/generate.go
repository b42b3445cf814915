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

// Generate sends the request and returns its stream once the response header has arrived. The stream ends
// at the latest with the context.
func (client *Client) Generate(ctx context.Context, generation Generation) (Stream, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	watch := client.newSilenceWatch(generation)
	watch.resume()
	go watch.watch(parent, ctx.Done())
	response, err := client.send(ctx, watch, generation)
	if err != nil {
		cancel()
		return nil, SendError(err)
	}
	watch.received()
	body := &responseBody{parent: parent, cancel: cancel, watch: watch, response: response}
	stream, err := client.open(body, generation)
	if err != nil {
		body.close()
		return nil, err
	}
	return stream, nil
}

// newSilenceWatch returns the watch of the generation. Silence also closes the idle connections, since what
// stalled one connection has often stalled all.
func (client *Client) newSilenceWatch(generation Generation) *silenceWatch {
	return newSilenceWatch(client.clock, client.settings.SilenceTimeout, func(ctx context.Context) {
		client.httpClient.Close()
		if generation.OnSilence != nil {
			generation.OnSilence(ctx)
		}
	})
}

// send sends the request and returns the response once its header has arrived. An informational response
// (status 1xx) counts as a heartbeat.
func (client *Client) send(ctx context.Context, watch *silenceWatch, generation Generation) (*http.Response, error) {
	clientTrace := &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			watch.received()
			watch.resume()
			return nil
		},
	}
	ctx = httptrace.WithClientTrace(ctx, clientTrace)
	address := "http://" + client.settings.Address + path(generation.Request.API)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	setHeaders(httpRequest.Header, generation)
	return client.httpClient.Do(ctx, httpRequest, generation.Request.Body)
}

// path returns the path of the interface.
func path(api request.API) string {
	if api == request.Completion {
		return "/v1/completions"
	}
	return "/v1/chat/completions"
}

// setHeaders sets the headers of a generation. The header Last-Event-ID resumes its stream.
func setHeaders(header http.Header, generation Generation) {
	req := generation.Request
	header.Set("Content-Type", "application/json")
	header.Set(requestIDHeader, req.ID)
	header.Set("X-Priority", strconv.Itoa(req.Priority))
	header.Set("X-Model-Version", generation.Version)
	if req.Prefix != 0 {
		header.Set("X-Prefix", strconv.FormatUint(req.Prefix, 16))
	}
	if generation.ResumeAfter > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(generation.ResumeAfter))
	}
}

// open checks the header of the response and returns its stream.
func (client *Client) open(body *responseBody, generation Generation) (Stream, error) {
	response := body.response
	id := generation.Request.ID
	if got := response.Header.Get(requestIDHeader); got != id {
		return nil, fmt.Errorf("%w: got %q", ErrMismatched, got)
	}
	if response.Header.Get(outcomeHeader) == outcomeNotRun {
		return nil, refusalError(body)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, fmt.Errorf("%w: status %s", ErrNoResponse, response.Status)
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType) {
		return newEventStream(body, id, generation.ResumeAfter), nil
	}
	return &bufferedStream{responseBody: body, id: id, limit: client.settings.MaxBody}, nil
}

// refusalError returns a *RefusedError. Its reason is empty if the body cannot be read or decoded; the header
// alone guarantees that the request did not run.
func refusalError(body *responseBody) error {
	content, _ := readAll(body.response, maxRefusalBytes)
	var refusal struct{ Reason string }
	_ = json.Unmarshal(content, &refusal)
	return &RefusedError{Status: body.response.StatusCode, Reason: refusal.Reason}
}
