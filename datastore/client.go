package datastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/transport"
)

// outcomeHeader and outcomeNotRun mark an answer that proves that the call took no effect.
const (
	outcomeHeader = "X-Outcome"
	outcomeNotRun = "not run"
)

// Client speaks to the platform over HTTP. It never repeats a write by itself.
// It is safe for concurrent use and implements Tables, Objects and VMs. Use NewClient.
type Client struct {
	settings ClientSettings
	wire     *transport.Client
}

var (
	_ Tables  = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ VMs     = (*Client)(nil)
)

// NewClient returns a client that has not connected yet.
func NewClient(settings ClientSettings, clk clock.Clock) *Client {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	wire := transport.New(transport.Settings{DialTimeout: settings.Timeout, Dial: settings.Dial}, clk)
	return &Client{settings: settings, wire: wire}
}

// Close closes the connections that no call uses.
func (client *Client) Close() {
	client.wire.Close()
}

// Read returns one row. It fails with ErrNotFound or ErrUnavailable.
func (client *Client) Read(ctx context.Context, key Key) (Row, error) {
	var row Row
	err := client.read(ctx, "/tables/read", key, &row)
	return row, err
}

// Scan returns rows of a table in order. It fails with ErrUnavailable.
func (client *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	question := struct {
		Table, Prefix, After string
		Limit                int
	}{table, prefix, after, limit}
	var answer struct{ Rows []Row }
	err := client.read(ctx, "/tables/scan", question, &answer)
	return answer.Rows, err
}

// Commit applies all writes or none. It fails with ErrConflict, ErrUnavailable or ErrUnclear.
func (client *Client) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	body, err := json.Marshal(struct{ Writes []Write }{writes})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := client.write(ctx, http.MethodPost, "/tables/commit", body)
	if err != nil {
		return nil, err
	}
	var result struct{ Versions []uint64 }
	if err := json.Unmarshal(answer, &result); err != nil {
		return nil, unclear(err)
	}
	if len(result.Versions) != len(writes) {
		return nil, unclear(errors.New("answer has another number of versions"))
	}
	return result.Versions, nil
}

// Get returns an object. It fails with ErrNotFound or ErrUnavailable.
func (client *Client) Get(ctx context.Context, name string) ([]byte, error) {
	content, err := client.call(ctx, http.MethodGet, objectPath(name), nil)
	return content, asRead(err)
}

// Put writes an object. It fails with ErrConflict, ErrUnavailable or ErrUnclear.
func (client *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := client.write(ctx, http.MethodPut, objectPath(name), content)
	return err
}

// List returns the VMs that the platform believes to live. It fails with ErrUnavailable.
func (client *Client) List(ctx context.Context) ([]VM, error) {
	content, err := client.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, asRead(err)
	}
	var answer struct{ VMs []VM }
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, unavailable(err)
	}
	return answer.VMs, nil
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// read asks a question that changes nothing and decodes the answer.
func (client *Client) read(ctx context.Context, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return trace.Wrap(err)
	}
	content, err := client.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return asRead(err)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return unavailable(err)
	}
	return nil
}

// write makes a call that changes something.
func (client *Client) write(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	content, err := client.call(ctx, method, path, body)
	if err != nil {
		return nil, asWrite(err)
	}
	return content, nil
}

// call makes one exchange and reads the whole answer. It fails with a *callError.
func (client *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.settings.Address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := client.wire.Do(ctx, request, body)
	if err != nil {
		return nil, &callError{notSent: transport.IsNotSent(err), cause: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(content) > maxAnswer {
		err = errors.New("answer is too large")
	}
	if err != nil {
		return nil, &callError{cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(response, content)
	}
	return content, nil
}

func refusal(response *http.Response, content []byte) error {
	return &callError{
		status:  response.StatusCode,
		notSent: response.Header.Get(outcomeHeader) == outcomeNotRun,
		cause:   errors.New(response.Status + ": " + string(bytes.TrimSpace(content))),
	}
}
