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

// outcomeHeader and outcomeNotRun are the name and value of the response header that guarantees that the
// call took no effect.
const (
	outcomeHeader = "X-Outcome"
	outcomeNotRun = "not run"
)

// Client accesses the platform over HTTP. It never retries a call that may have been sent.
// It is safe for concurrent use and implements Tables, Objects and VMs. Use NewClient.
type Client struct {
	settings   ClientSettings
	httpClient *transport.Client
}

var (
	_ Tables  = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ VMs     = (*Client)(nil)
)

// NewClient returns a client. Connections are opened when calls need them.
func NewClient(settings ClientSettings, clk clock.Clock) *Client {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	httpClient := transport.New(transport.Settings{DialTimeout: settings.Timeout, Dial: settings.Dial}, clk)
	return &Client{settings: settings, httpClient: httpClient}
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.httpClient.Close()
}

// Read returns one row. It fails with ErrNotFound or ErrUnavailable.
func (client *Client) Read(ctx context.Context, key Key) (Row, error) {
	var row Row
	err := client.read(ctx, "/tables/read", key, &row)
	return row, err
}

// Scan returns rows of a table in the order of their names. It fails with ErrUnavailable.
func (client *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := struct {
		Table, Prefix, After string
		Limit                int
	}{table, prefix, after, limit}
	var result struct{ Rows []Row }
	err := client.read(ctx, "/tables/scan", query, &result)
	return result.Rows, err
}

// Commit applies all writes or none. It fails with ErrConflict, ErrUnavailable or ErrUnclear.
func (client *Client) Commit(ctx context.Context, writes []Write) ([]Version, error) {
	body, err := json.Marshal(struct{ Writes []Write }{writes})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	content, err := client.write(ctx, http.MethodPost, "/tables/commit", body)
	if err != nil {
		return nil, err
	}
	var result struct{ Versions []Version }
	if err := json.Unmarshal(content, &result); err != nil {
		return nil, unclear(err)
	}
	if len(result.Versions) != len(writes) {
		return nil, unclear(errors.New("response has a different number of versions than writes"))
	}
	return result.Versions, nil
}

// Get returns the content of an object. It fails with ErrNotFound or ErrUnavailable.
func (client *Client) Get(ctx context.Context, name string) ([]byte, error) {
	content, err := client.call(ctx, http.MethodGet, objectPath(name), nil)
	return content, readError(err)
}

// Put writes an object. It fails with ErrConflict, ErrUnavailable or ErrUnclear.
func (client *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := client.write(ctx, http.MethodPut, objectPath(name), content)
	return err
}

// List returns the VMs that the platform lists as running. It fails with ErrUnavailable.
func (client *Client) List(ctx context.Context) ([]VM, error) {
	content, err := client.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, readError(err)
	}
	var result struct{ VMs []VM }
	if err := json.Unmarshal(content, &result); err != nil {
		return nil, unavailable(err)
	}
	return result.VMs, nil
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// read makes a call that changes nothing and decodes the response into result.
func (client *Client) read(ctx context.Context, path string, query, result any) error {
	body, err := json.Marshal(query)
	if err != nil {
		return trace.Wrap(err)
	}
	content, err := client.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return readError(err)
	}
	if err := json.Unmarshal(content, result); err != nil {
		return unavailable(err)
	}
	return nil
}

// write makes a call that may change the stored data and returns the body of the response.
func (client *Client) write(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	content, err := client.call(ctx, method, path, body)
	if err != nil {
		return nil, writeError(err)
	}
	return content, nil
}

// call sends one HTTP request and reads the whole response. A response other than 200 and a lost or
// oversized response give a *callError.
func (client *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.settings.Address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := client.httpClient.Do(ctx, request, body)
	if err != nil {
		return nil, &callError{noEffect: transport.IsNotSent(err), cause: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(content) > maxResponseBytes {
		err = errors.New("response is too large")
	}
	if err != nil {
		return nil, &callError{cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response, content)
	}
	return content, nil
}

// statusError returns the failure of a call whose response has another status than 200.
func statusError(response *http.Response, content []byte) error {
	return &callError{
		status:   response.StatusCode,
		noEffect: response.Header.Get(outcomeHeader) == outcomeNotRun,
		cause:    errors.New(response.Status + ": " + string(bytes.TrimSpace(content))),
	}
}
