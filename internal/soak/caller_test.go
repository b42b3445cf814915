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

// result is what a caller learnt of one request.
type result struct {
	// id is the identifier of the request, or empty if no answer came.
	id string
	// whole states that the answer came whole and belongs to the request.
	whole bool
	// wrong tells of an answer that breaks a promise, such as foreign or doubled tokens.
	wrong string
	// kind and word are those of a refusal.
	kind string
	word outcome.Execution
	// message is the body of a refusal.
	message string
	// lost states that the connection to the daemon broke without an answer.
	lost bool
	// entry is the daemon, and generation its VM.
	entry      *entry
	generation int32
	took       time.Duration
}

// caller sends requests through the balancer and judges the answers.
type caller struct {
	world     *world
	random    *rand.Rand
	transport *http.Transport
	client    *http.Client
	// only is the entry that it sends to, or nil for any in service.
	only *entry
}

func newCaller(world *world, seed uint64) *caller {
	transport := &http.Transport{DialContext: world.wires.dialler("caller"), DisableKeepAlives: true}
	return &caller{
		world:     world,
		random:    rand.New(rand.NewPCG(seed, 0)),
		transport: transport,
		client:    &http.Client{Transport: transport},
	}
}

func (caller *caller) close() {
	caller.transport.CloseIdleConnections()
}

// chat asks for an answer of some tokens.
func (caller *caller) chat(target string, stream bool, tokens int) result {
	return caller.prompt(target, stream, tokens, fmt.Sprint(caller.random.Uint64()))
}

func (caller *caller) prompt(target string, stream bool, tokens int, content string) result {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, target, stream, tokens, content)
	return caller.send("POST", "/v1/chat/completions", "", body, func(answer *http.Response, got *result) {
		if stream {
			judgeStream(answer, got, tokens)
		} else {
			judgeWhole(answer, got, tokens)
		}
	})
}

// confirm sends a non-idempotent call.
func (caller *caller) confirm(key string) result {
	return caller.send("POST", "/services/orders/confirm", key, `{"Order":"`+key+`"}`, func(answer *http.Response, got *result) {
		_, err := io.ReadAll(answer.Body)
		got.whole = err == nil
	})
}

func (caller *caller) send(method, path, key, body string, judge func(answer *http.Response, got *result)) result {
	entry := caller.only
	if entry == nil {
		entry = caller.world.inService(caller.random)
	}
	if entry == nil {
		return result{lost: true}
	}
	got := result{entry: entry, generation: entry.generation.Load()}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+entry.callers()+path, strings.NewReader(body))
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	answer, err := caller.client.Do(req)
	if err != nil {
		got.lost = true
		got.took = time.Since(begun)
		return got
	}
	defer answer.Body.Close()
	got.id = answer.Header.Get("X-Request-Id")
	if kind := answer.Header.Get("X-Error-Kind"); kind != "" {
		got.kind = kind
		got.word = outcome.Execution(answer.Header.Get("X-Outcome"))
		content, _ := io.ReadAll(answer.Body)
		got.message = string(content)
	} else {
		judge(answer, &got)
	}
	got.took = time.Since(begun)
	return got
}

// judgeWhole checks an answer that is not streamed.
func judgeWhole(answer *http.Response, got *result, tokens int) {
	content, err := io.ReadAll(answer.Body)
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
		got.wrong = "malformed answer: " + string(content)
		return
	}
	judgeTokens(got, body.ID, strings.Fields(body.Choices[0].Message.Content), tokens)
}

// judgeStream checks a streamed answer, which ends with [DONE] or an error event.
func judgeStream(answer *http.Response, got *result, tokens int) {
	lines := bufio.NewScanner(answer.Body)
	var words []string
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
			got.word = outcome.MayHaveRun
			return
		}
		if string(data) == "[DONE]" {
			judgeTokens(got, id, words, tokens)
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
			got.wrong = "malformed piece: " + string(data)
			return
		}
		id = chunk.ID
		words = append(words, strings.Fields(chunk.Choices[0].Delta.Content)...)
	}
	got.lost = true
}

// judgeTokens checks that the tokens are those of the request, each once and in order.
func judgeTokens(got *result, id string, words []string, tokens int) {
	if id != got.id {
		got.wrong = fmt.Sprintf("answer of request %s has identifier %s", got.id, id)
		return
	}
	for index, word := range words {
		if !strings.HasSuffix(word, fmt.Sprintf("-%d", index+1)) || !strings.HasPrefix(word, strings.Split(words[0], "-")[0]) {
			got.wrong = fmt.Sprintf("token %d of request %s is %s in %v", index+1, got.id, word, words)
			return
		}
	}
	if len(words) != tokens {
		got.wrong = fmt.Sprintf("request %s got %d tokens of %d", got.id, len(words), tokens)
		return
	}
	got.whole = true
}

// executions returns how often the call with the key was executed by all services.
func (world *world) executions(key string) int {
	sum := 0
	for _, service := range world.services {
		sum += service.Counts().Keys[key]
	}
	return sum
}

// ran returns how often a request was begun by all upstreams.
func (world *world) ran(id string) int {
	sum := 0
	for _, engine := range world.everyEngine() {
		sum += engine.Counts().Executions[id]
	}
	for _, service := range world.services {
		sum += service.Counts().Executions[id]
	}
	return sum
}
