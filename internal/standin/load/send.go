package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxLineSize is the largest accepted line of a stream in bytes.
const maxLineSize = 16 << 10

// timing holds the times at which the parts of one response were received.
type timing struct {
	sent time.Time
	// tokens holds the arrival time of each token.
	tokens []time.Time
}

// send sends one request, reads its response and adds the result to the report.
func (client *Client) send(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	received := &timing{sent: client.clock.Now(), tokens: make([]time.Time, 0, client.settings.Tokens)}
	kind, err := client.exchange(ctx, number, received)
	client.addResult(received, kind, err)
}

// exchange sends one request and reads its response. It returns the error kind of a refusal, or the cause of
// an incomplete response.
func (client *Client) exchange(ctx context.Context, number int, received *timing) (kind string, err error) {
	request, err := client.request(ctx, number)
	if err != nil {
		return "", err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return "", failureCause(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxLineSize))
		return refusalKind(response), nil
	}
	return "", failureCause(ctx, client.read(response.Body, received))
}

func (client *Client) request(ctx context.Context, number int) (*http.Request, error) {
	address := "http://" + client.settings.Address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(client.body(number)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", fmt.Sprintf("load-%d-%d", client.settings.Seed, number))
	request.Header.Set("X-Model-Version", client.settings.Version)
	if client.settings.Class != "" {
		request.Header.Set("X-Class", client.settings.Class)
	}
	if keys := client.settings.Keys; len(keys) > 0 {
		request.Header.Set("Authorization", "Bearer "+keys[number%len(keys)])
	}
	return request, nil
}

// read records the time of each token until the end marker.
func (client *Client) read(body io.Reader, received *timing) error {
	reader := bufio.NewReaderSize(body, maxLineSize)
	for {
		line, err := reader.ReadSlice('\n')
		switch {
		case err != nil:
			return err
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			_, _ = io.Copy(io.Discard, io.LimitReader(reader, maxLineSize))
			return nil
		case bytes.HasPrefix(line, []byte(`data: {"error"`)):
			return errors.New("error within the stream")
		case bytes.HasPrefix(line, []byte("data: ")):
			received.tokens = append(received.tokens, client.clock.Now())
		}
	}
}

func (client *Client) addResult(received *timing, kind string, err error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	report := &client.report
	report.Tokens += len(received.tokens)
	client.recordTimes(received)
	switch {
	case kind != "":
		report.Refused[kind]++
		record(client.refusal, client.clock.Since(received.sent))
	case err != nil:
		report.Failed[err.Error()]++
	case len(received.tokens) != client.settings.Tokens:
		report.Failed["wrong number of tokens"]++
	default:
		report.Completed++
		if received.tokens[0].Sub(received.sent) <= client.settings.GoodFirstToken {
			report.Good++
		}
	}
}

func (client *Client) recordTimes(received *timing) {
	last := received.sent
	for index, token := range received.tokens {
		histogram := client.betweenTokens
		if index == 0 {
			histogram = client.firstToken
		}
		record(histogram, token.Sub(last))
		last = token
	}
}

// refusalKind returns the error kind that a daemon states, or the HTTP status of an engine.
func refusalKind(response *http.Response) string {
	if kind := response.Header.Get("X-Error-Kind"); kind != "" {
		return kind
	}
	return response.Status
}

// failureCause maps an error to one of a few texts, so that failures can be counted by cause.
func failureCause(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return errors.New("timeout")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("connection ended early")
	default:
		return errors.New("connection failed")
	}
}
