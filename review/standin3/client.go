package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// awaitReady asks whether the daemon is ready until it is.
func (front *process) awaitReady(most time.Duration) error {
	for began := time.Now(); time.Since(began) < most; time.Sleep(100 * time.Millisecond) {
		if front.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", front.name)
}

func (front *process) isReady() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + front.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

func (answer answer) String() string {
	return fmt.Sprintf("status %d, signature %q, %d bytes, complete %v, error %v", answer.status, answer.header.Get("Bronzestall-Response-Signature"), len(answer.body), answer.complete, answer.err)
}

// fresh is a client that opens a connection for each request.
var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request and waits for the end of its answer. fields holds pairs of header names and values.
func (bed *bed) send(client *http.Client, front *process, method, path, id, body string, deadline time.Duration, fields ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+front.client+path, bytes.NewReader([]byte(body)))
	request.Host = host
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for index := 0; index+1 < len(fields); index += 2 {
		request.Header.Set(fields[index], fields[index+1])
	}
	bed.record.add("sent %s %s %s to %s", id, method, path, front.name)
	got := answer{}
	response, err := client.Do(request)
	if err != nil {
		got.err = err
	} else {
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got = answer{status: response.StatusCode, header: response.Header, body: string(content), complete: err == nil, err: err}
	}
	bed.record.add("answered %s: %v", id, got)
	return got
}

// serves reports whether an ordinary lookup is served.
func (bed *bed) serves(front *process, id string) bool {
	got := bed.send(fresh, front, http.MethodGet, "/lookup/x", id, "", 1500*time.Millisecond)
	return got.status == http.StatusOK && got.complete && strings.Contains(got.body, id)
}

// dial opens a connection to the address.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, 2*time.Second) }
