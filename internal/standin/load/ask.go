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

// lineSize is the largest line of a stream in bytes.
const lineSize = 16 << 10

// times are the times at which one answer was received.
type times struct {
	sent time.Time
	// tokens holds the time of each token.
	tokens []time.Time
}

// ask sends one request and notes what came of it.
func (client *Client) ask(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	taken := &times{sent: client.clock.Now(), tokens: make([]time.Time, 0, client.settings.Tokens)}
	kind, err := client.exchange(ctx, number, taken)
	client.note(taken, kind, err)
}

// exchange reads one answer. It returns the error kind of a refusal, or why the answer is not complete.
func (client *Client) exchange(ctx context.Context, number int, taken *times) (kind string, err error) {
	request, err := client.request(ctx, number)
	if err != nil {
		return "", err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return "", cause(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, lineSize))
		return refusalKind(response), nil
	}
	return "", cause(ctx, client.read(response.Body, taken))
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

// read notes the time of each token until the end marker.
func (client *Client) read(body io.Reader, taken *times) error {
	reader := bufio.NewReaderSize(body, lineSize)
	for {
		line, err := reader.ReadSlice('\n')
		switch {
		case err != nil:
			return err
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			_, _ = io.Copy(io.Discard, io.LimitReader(reader, lineSize))
			return nil
		case bytes.HasPrefix(line, []byte(`data: {"error"`)):
			return errors.New("error within the stream")
		case bytes.HasPrefix(line, []byte("data: ")):
			taken.tokens = append(taken.tokens, client.clock.Now())
		}
	}
}

func (client *Client) note(taken *times, kind string, err error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	report := &client.report
	report.Tokens += len(taken.tokens)
	client.noteTimes(taken)
	switch {
	case kind != "":
		report.Refused[kind]++
		record(client.refusal, client.clock.Since(taken.sent))
	case err != nil:
		report.Failed[err.Error()]++
	case len(taken.tokens) != client.settings.Tokens:
		report.Failed["wrong number of tokens"]++
	default:
		report.Completed++
		if taken.tokens[0].Sub(taken.sent) <= client.settings.GoodFirstToken {
			report.Good++
		}
	}
}

func (client *Client) noteTimes(taken *times) {
	last := taken.sent
	for at, token := range taken.tokens {
		histogram := client.between
		if at == 0 {
			histogram = client.first
		}
		record(histogram, token.Sub(last))
		last = token
	}
}

// refusalKind returns the error kind of a daemon, or the status of an engine.
func refusalKind(response *http.Response) string {
	if kind := response.Header.Get("X-Error-Kind"); kind != "" {
		return kind
	}
	return response.Status
}

// cause returns one of a few texts, so that failures can be counted.
func cause(ctx context.Context, err error) error {
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
