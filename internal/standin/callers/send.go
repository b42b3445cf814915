package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
)

// maxResponse is the largest response that a caller reads, in bytes.
const maxResponse = 4 << 20

// sendChat makes one attempt of a streamed chat and compares the text of the response.
func (c *Callers) sendChat(ctx context.Context, daemon string, number int) attempt {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"chat %d"}]}`,
		c.settings.Model, c.settings.Tokens, number)
	content, sent := c.exchange(ctx, daemon, "/v1/chat/completions", "", body)
	if sent.result != answered {
		return sent
	}
	if !bytes.HasSuffix(bytes.TrimSpace(content), []byte("data: [DONE]")) {
		return attempt{result: lost}
	}
	if text(content) != c.expected(body) {
		return attempt{result: wrong, final: true}
	}
	return sent
}

// sendCall makes one attempt of a call that must not be executed twice. The response must report the first
// execution.
func (c *Callers) sendCall(ctx context.Context, daemon, key string) attempt {
	content, sent := c.exchange(ctx, daemon, c.settings.Path, key, `{"slip":"`+key+`"}`)
	if sent.result == answered && !bytes.Contains(content, []byte(`"Execution":1}`)) {
		return attempt{result: wrong, final: true}
	}
	return sent
}

// exchange sends one request and reads the whole response.
func (c *Callers) exchange(ctx context.Context, daemon, path, key, body string) ([]byte, attempt) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, attempt{result: lost}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, attempt{result: lost}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	switch {
	case err != nil:
		return nil, attempt{result: lost}
	case response.StatusCode != http.StatusOK:
		return nil, refusal(response)
	}
	return content, attempt{result: answered, final: true}
}

// refusal decodes the outcome of a refusal. It is final only if the result of a call remains unknown.
func refusal(response *http.Response) attempt {
	kind := response.Header.Get("X-Error-Kind")
	sent := attempt{result: mayHaveRun, kind: kind, final: kind == "ClaimUnresolved"}
	if response.Header.Get("X-Outcome") == "not run" {
		sent.result = notRun
	}
	return sent
}

// expected returns the text that the stand-in of the engine generates for the body.
func (c *Callers) expected(body string) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, body)
	var all strings.Builder
	for index := 1; index <= c.settings.Tokens; index++ {
		fmt.Fprintf(&all, "%08x-%d ", hash.Sum32(), index)
	}
	return all.String()
}

// text returns the text of a streamed response.
func text(content []byte) string {
	var all strings.Builder
	for line := range bytes.Lines(content) {
		payload, found := bytes.CutPrefix(line, []byte("data: {"))
		if !found {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal(append([]byte("{"), payload...), &chunk) == nil && len(chunk.Choices) == 1 {
			all.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return all.String()
}
