package frontsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The paths of the kinds of requests.
const (
	engines    = "engines"
	desks      = "desks"
	pathCall   = "/call/"
	pathLookup = "/lookup/"
	pathStream = "/stream/"
	pathResume = "/resume/"
)

// once reports whether the request of the identifier may run only once.
func once(id string) bool {
	return strings.HasPrefix(id, "call") || strings.HasPrefix(id, "stream")
}

// client sends requests over kept connections.
type client struct {
	name   string
	judge  *judge
	http   *http.Client
	random *rand.Rand
	// addresses are those of all daemons.
	addresses []string
	count     int
}

func newClient(name string, judge *judge, seed uint64, addresses []string) *client {
	return &client{
		name: name, judge: judge, addresses: addresses,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		random: rand.New(rand.NewPCG(seed, uint64(len(name)))),
	}
}

// run sends requests until the context ends.
func (client *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := []string{pathCall, pathLookup, pathStream, pathResume}[client.random.IntN(4)]
		client.send(ctx, kind, client.addresses[client.random.IntN(len(client.addresses))])
		time.Sleep(time.Duration(client.random.IntN(40)) * time.Millisecond)
	}
}

// send sends one request of its own body and judges its answer. It reports whether it was served.
func (client *client) send(ctx context.Context, kind, address string) bool {
	return client.sendBody(ctx, kind, address, "")
}

// sendBody sends one request with the body, or one of its own if that is empty.
func (client *client) sendBody(ctx context.Context, kind, address, body string) bool {
	client.count++
	daemon := fmt.Sprint("front-", slices.Index(client.addresses, address))
	id := fmt.Sprintf("%s-%s-%d@%s", strings.Trim(kind, "/"), client.name, client.count, daemon)
	if body == "" {
		body = "body of " + id
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+kind+"x", strings.NewReader(body))
	if err != nil {
		client.judge.breach("request: %v", err)
		return false
	}
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", "4000")
	if kind == pathStream || kind == pathResume {
		request.Header.Set("Bronzestall-Model", fmt.Sprintf("m%d", client.random.IntN(modelCount)))
		request.Header.Set("Bronzestall-Token-Usage", "100,36")
	}
	response, err := client.http.Do(request)
	if err != nil {
		client.judge.count("broken")
		return false
	}
	defer response.Body.Close()
	if response.Header.Get(leavingHeader) != "" {
		client.judge.passOn(response.Header.Get(replicaHeader), daemon)
	}
	content, err := io.ReadAll(response.Body)
	client.judge.count(fmt.Sprint(response.StatusCode, " ", err == nil))
	return client.check(id, kind, response, string(content), err)
}

func (client *client) check(id, kind string, response *http.Response, content string, err error) bool {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		client.judge.refusedAsNotRun(id, response.Status)
		return false
	case http.StatusNotFound:
		client.judge.breach("%s was answered %s", id, response.Status)
		return false
	default:
		return false
	}
	if response.Header.Get("Bronzestall-Response-Signature") != "signed."+id {
		client.judge.breach("%s got the signature %q", id, response.Header.Get("Bronzestall-Response-Signature"))
	}
	want := expectedBody(id, "body of "+id)
	if kind == pathStream || kind == pathResume {
		want = expectedEvents(id)
	}
	if err == nil && content != want {
		client.judge.breach("%s got a complete answer of %d bytes that is not its own: %q", id, len(content), content[:min(len(content), 80)])
	}
	if err != nil && !strings.HasPrefix(want, content) {
		client.judge.breach("%s got a broken answer that does not begin its own: %q", id, content[:min(len(content), 80)])
	}
	return err == nil
}

func expectedEvents(id string) string {
	var text strings.Builder
	for number := 1; number <= streamEvents; number++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, id)
	}
	return text.String()
}
