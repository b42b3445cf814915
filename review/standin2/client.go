package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The routes of the configuration.
const (
	host       = "h.example"
	pathCall   = "/confirm/"
	pathLookup = "/lookup/"
	pathStream = "/plan/"
)

// client sends ordinary requests to one machine, one after the other, on connections that it keeps.
type client struct {
	name    string
	machine *machine
	record  *record
	http    *http.Client
	// sent and served count its requests.
	sent, served atomic.Int64
}

func newClient(name string, machine *machine, record *record) *client {
	return &client{name: name, machine: machine, record: record, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// run sends requests until the context ends.
func (client *client) run(ctx context.Context, clients *sync.WaitGroup, pause time.Duration) {
	clients.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			path := []string{pathCall, pathLookup, pathStream}[number%3]
			id := fmt.Sprintf("%s-%d", client.name, number)
			client.sent.Add(1)
			status, err := client.send(path, id)
			client.record.add("request %s to %s%s: status %d %s", id, client.machine.name, path, status, errorText(err))
			if err == nil && status == http.StatusOK {
				client.served.Add(1)
			}
			time.Sleep(pause)
		}
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// send sends one ordinary request and reads the whole response.
func (client *client) send(path, id string) (int, error) {
	header := http.Header{}
	if path == pathStream {
		header.Set("Bronzestall-Model", "m0")
		header.Set("Bronzestall-Token-Usage", "60,20")
		header.Set("Bronzestall-Prompt-Prefix", "5c1e07a2:40,91bd3f06:20")
	}
	return client.sendTo(path+"x", id, header)
}

// sendTo sends one request with further headers and reads the whole response.
func (client *client) sendTo(path, id string, header http.Header) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.machine.front+path, strings.NewReader("order"))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", "3000")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
