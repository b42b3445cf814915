package frontsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The services, and the path prefix of each kind of request.
const (
	engineService = "engines"
	plainService  = "desks"
	pathCall      = "/call/"
	pathLookup    = "/lookup/"
	pathStream    = "/stream/"
	pathResume    = "/resume/"
)

const (
	// clientDeadline is the time that a client gives each request.
	clientDeadline = 4 * time.Second
	// cutTime is the time before which the end of a request without a whole answer or a refusal counts as cut. The users' rule
	// counts none that has used seven tenths of its time.
	cutTime = clientDeadline * 7 / 10
	// cutOutcome is the outcome under which such ends are counted.
	cutOutcome = "cut"
)

// atMostOnce reports whether the request with the identifier may run at most once.
func atMostOnce(id string) bool {
	return strings.HasPrefix(id, "call") || strings.HasPrefix(id, "stream")
}

// client sends requests over persistent connections and checks the responses.
type client struct {
	name    string
	checker *checker
	http    *http.Client
	random  *rand.Rand
	// addresses lists the client addresses of all daemons.
	addresses []string

	// model is the model that the client asks for; empty draws one for each request.
	model string
	// key is the key of its account; empty if it has none.
	key string

	// mutex guards random and count.
	mutex sync.Mutex
	// count is the number of requests sent.
	count int
}

func newClient(name string, checker *checker, seed uint64, addresses []string) *client {
	return &client{
		name: name, checker: checker, addresses: addresses,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		random: rand.New(rand.NewPCG(seed, uint64(len(name)))),
	}
}

// run sends requests of random kinds to random daemons until the context ends.
func (client *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := []string{pathCall, pathLookup, pathStream, pathResume}[client.random.IntN(4)]
		client.send(ctx, kind, client.addresses[client.random.IntN(len(client.addresses))])
		time.Sleep(time.Duration(client.random.IntN(40)) * time.Millisecond)
	}
}

// send sends one request with a unique body, checks the response, and reports whether the request was served.
func (client *client) send(ctx context.Context, kind, address string) bool {
	return client.sendBody(ctx, kind, address, "")
}

// sendBody is send with the given body; an empty body stands for a unique one.
func (client *client) sendBody(ctx context.Context, kind, address, body string) bool {
	return client.sendPrompt(ctx, kind, address, body, "")
}

// sendPrompt is sendBody with the given parts of the prompt; an empty text sends none.
func (client *client) sendPrompt(ctx context.Context, kind, address, body, prefix string) bool {
	client.mutex.Lock()
	client.count++
	daemon := fmt.Sprint("front-", slices.Index(client.addresses, address))
	id := fmt.Sprintf("%s-%s-%d@%s", strings.Trim(kind, "/"), client.name, client.count, daemon)
	model := client.model
	if model == "" {
		model = fmt.Sprintf("m%d", client.random.IntN(modelCount))
	}
	client.mutex.Unlock()
	if body == "" {
		body = "body of " + id
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+kind+"x", strings.NewReader(body))
	if err != nil {
		client.checker.recordViolation("request: %v", err)
		return false
	}
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", "4000")
	if client.key != "" {
		request.Header.Set("Authorization", "Bearer "+client.key)
	}
	if prefix != "" {
		request.Header.Set("Bronzestall-Prompt-Prefix", prefix)
	}
	if kind == pathStream || kind == pathResume {
		request.Header.Set("Bronzestall-Model", model)
		request.Header.Set("Bronzestall-Token-Usage", "100,36")
	}
	response, err := client.http.Do(request)
	if err != nil {
		client.checker.count("broken")
		client.checker.countCut(sent)
		return false
	}
	defer response.Body.Close()
	if response.Header.Get(leavingHeader) != "" {
		client.checker.recordForwardedLeaving(response.Header.Get(replicaHeader), daemon)
	}
	if response.Header.Get(limitHeader) != "" {
		client.checker.recordForwardedLimit(response.Header.Get(replicaHeader), daemon)
	}
	content, err := io.ReadAll(response.Body)
	client.checker.count(fmt.Sprint(response.StatusCode, " ", err == nil))
	if err != nil {
		client.checker.countCut(sent)
	}
	return client.check(id, kind, response, string(content), err)
}

// check compares a response with what the request must get, and reports whether the request was served in full. err is
// the error of reading the body.
func (client *client) check(id, kind string, response *http.Response, content string, err error) bool {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		client.checker.recordRefusal(id, response.Status)
		return false
	case http.StatusNotFound:
		client.checker.recordViolation("%s got the response %s", id, response.Status)
		return false
	default:
		return false
	}
	if response.Header.Get("Bronzestall-Response-Signature") != "signed."+id {
		client.checker.recordViolation("%s got the signature %q", id, response.Header.Get("Bronzestall-Response-Signature"))
	}
	want := expectedBody(id, "body of "+id)
	if kind == pathStream || kind == pathResume {
		want = client.checker.streams.expected(id)
		content = withoutComments(content)
	}
	if err == nil && content != want {
		client.checker.recordViolation("%s got a complete response of %d bytes that is not its own: %q", id, len(content), content[:min(len(content), 80)])
	}
	if err != nil && !strings.HasPrefix(want, content) {
		client.checker.recordViolation("%s got an incomplete response that is not a prefix of its own: %q", id, content[:min(len(content), 80)])
	}
	return err == nil
}
