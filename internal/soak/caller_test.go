package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
)

// result holds what a caller observed of one request.
type result struct {
	// id is the identifier of the request, or empty if no response came.
	id string
	// complete states that the response came in full and belongs to the request.
	complete bool
	// problem describes a response that must never come, such as one with tokens of another request or duplicate tokens.
	problem string
	// kind and execution are the error kind of a refusal, and whether the request ran.
	kind      string
	execution outcome.Execution
	// message is the body of a refusal.
	message string
	// lost states that the connection to the daemon broke before a response was complete.
	lost bool
	// entry is the entry that the request was sent to, and generation tells which of its VMs.
	entry      *entry
	generation int32
	elapsed    time.Duration
}

// caller sends requests through the load balancer and checks the responses.
type caller struct {
	testbed   *testbed
	random    *rand.Rand
	transport *http.Transport
	client    *http.Client
	// pinnedEntry is the only entry that it sends to, or nil for any in service.
	pinnedEntry *entry
}

func newCaller(testbed *testbed, seed uint64) *caller {
	transport := &http.Transport{DialContext: testbed.network.dialler("caller"), DisableKeepAlives: true}
	return &caller{
		testbed:   testbed,
		random:    rand.New(rand.NewPCG(seed, 0)),
		transport: transport,
		client:    &http.Client{Transport: transport},
	}
}

func (caller *caller) close() {
	caller.transport.CloseIdleConnections()
}

// chat sends a chat completion with a random prompt that requests a number of tokens.
func (caller *caller) chat(target string, stream bool, tokenCount int) result {
	return caller.prompt(target, stream, tokenCount, fmt.Sprint(caller.random.Uint64()))
}

// prompt sends a chat completion with the content as its prompt.
func (caller *caller) prompt(target string, stream bool, tokenCount int, content string) result {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, target, stream, tokenCount, content)
	return caller.send("POST", "/v1/chat/completions", "", body, func(response *http.Response, got *result) {
		if stream {
			checkStream(response, got, tokenCount)
		} else {
			checkResponse(response, got, tokenCount)
		}
	})
}

// confirm sends a non-idempotent call of a service with an idempotency key.
func (caller *caller) confirm(key string) result {
	return caller.send("POST", "/services/orders/confirm", key, `{"Order":"`+key+`"}`, func(response *http.Response, got *result) {
		_, err := io.ReadAll(response.Body)
		got.complete = err == nil
	})
}

// send sends one request and passes the response to check, unless it is a refusal.
func (caller *caller) send(method, path, key, body string, check func(response *http.Response, got *result)) result {
	entry := caller.pinnedEntry
	if entry == nil {
		entry = caller.testbed.inService(caller.random)
	}
	if entry == nil {
		return result{lost: true}
	}
	got := result{entry: entry, generation: entry.generation.Load()}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+entry.callerAddress()+path, strings.NewReader(body))
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	response, err := caller.client.Do(req)
	if err != nil {
		got.lost = true
		got.elapsed = time.Since(startedAt)
		return got
	}
	defer response.Body.Close()
	got.id = response.Header.Get("X-Request-Id")
	if kind := response.Header.Get("X-Error-Kind"); kind != "" {
		got.kind = kind
		got.execution = outcome.Execution(response.Header.Get("X-Outcome"))
		content, _ := io.ReadAll(response.Body)
		got.message = string(content)
	} else {
		check(response, &got)
	}
	got.elapsed = time.Since(startedAt)
	return got
}

// checkResponse checks a response that is not streamed.
func checkResponse(response *http.Response, got *result, tokenCount int) {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		got.lost = true
		return
	}
	var body struct {
		ID      string `json:"id"`
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(content, &body) != nil || len(body.Choices) != 1 {
		got.problem = "malformed response: " + string(content)
		return
	}
	checkTokens(got, body.ID, strings.Fields(body.Choices[0].Message.Content), tokenCount)
}

// checkStream checks a streamed response, which ends with [DONE] or an error event.
func checkStream(response *http.Response, got *result, tokenCount int) {
	lines := bufio.NewScanner(response.Body)
	var tokens []string
	var id, event string
	for lines.Scan() {
		line := lines.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			event = string(name)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if event == "error" {
			got.kind = "InStream"
			got.execution = outcome.MayHaveRun
			return
		}
		if string(data) == "[DONE]" {
			checkTokens(got, id, tokens, tokenCount)
			return
		}
		var chunk struct {
			ID      string `json:"id"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) != 1 {
			got.problem = "malformed chunk: " + string(data)
			return
		}
		id = chunk.ID
		tokens = append(tokens, strings.Fields(chunk.Choices[0].Delta.Content)...)
	}
	got.lost = true
}

// checkTokens checks that the tokens are those of the request, each once and in order.
func checkTokens(got *result, id string, tokens []string, tokenCount int) {
	if id != got.id {
		got.problem = fmt.Sprintf("response to request %s has identifier %s", got.id, id)
		return
	}
	for index, token := range tokens {
		if !strings.HasSuffix(token, fmt.Sprintf("-%d", index+1)) || !strings.HasPrefix(token, strings.Split(tokens[0], "-")[0]) {
			got.problem = fmt.Sprintf("token %d of request %s is %s in %v", index+1, got.id, token, tokens)
			return
		}
	}
	if len(tokens) != tokenCount {
		got.problem = fmt.Sprintf("request %s got %d tokens of %d", got.id, len(tokens), tokenCount)
		return
	}
	got.complete = true
}

// executions returns how often the services executed the call with the key, in all.
func (testbed *testbed) executions(key string) int {
	sum := 0
	for _, service := range testbed.services {
		sum += service.Counts().Keys[key]
	}
	return sum
}

// runs returns how often the upstreams began to run a request, in all.
func (testbed *testbed) runs(id string) int {
	sum := 0
	for _, engine := range testbed.allEngines() {
		sum += engine.Counts().Executions[id]
	}
	for _, service := range testbed.services {
		sum += service.Counts().Executions[id]
	}
	return sum
}
