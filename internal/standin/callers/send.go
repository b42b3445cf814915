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

// maxAnswer is the largest answer in bytes that a caller reads.
const maxAnswer = 4 << 20

// sendChat sends a streamed chat once.
func (c *Callers) sendChat(ctx context.Context, daemon string, number int) sending {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"chat %d"}]}`,
		c.settings.Model, c.settings.Tokens, number)
	content, result := c.exchange(ctx, daemon, "/v1/chat/completions", "", body)
	if result.ending != answered {
		return result
	}
	if !bytes.HasSuffix(bytes.TrimSpace(content), []byte("data: [DONE]")) {
		return sending{ending: lost}
	}
	if text(content) != c.expected(body) {
		return sending{ending: wrong, final: true}
	}
	return result
}

// sendCall sends a call that may not be repeated once.
func (c *Callers) sendCall(ctx context.Context, daemon, key string) sending {
	content, result := c.exchange(ctx, daemon, c.settings.Path, key, `{"slip":"`+key+`"}`)
	if result.ending == answered && !bytes.Contains(content, []byte(`"Execution":1}`)) {
		return sending{ending: wrong, final: true}
	}
	return result
}

// exchange sends one request and reads the whole answer.
func (c *Callers) exchange(ctx context.Context, daemon, path, key, body string) ([]byte, sending) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, sending{ending: lost}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, sending{ending: lost}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	switch {
	case err != nil:
		return nil, sending{ending: lost}
	case response.StatusCode != http.StatusOK:
		return nil, refusal(response)
	}
	return content, sending{ending: answered, final: true}
}

// refusal reads the outcome of a refusal. Only a call whose outcome stays unknown is not worth sending again.
func refusal(response *http.Response) sending {
	kind := response.Header.Get("X-Error-Kind")
	result := sending{ending: mayHaveRun, kind: kind, final: kind == "ClaimUnresolved"}
	if response.Header.Get("X-Outcome") == "not run" {
		result.ending = notRun
	}
	return result
}

// expected returns the text that the engine's stand-in gives to the body.
func (c *Callers) expected(body string) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, body)
	var all strings.Builder
	for index := 1; index <= c.settings.Tokens; index++ {
		fmt.Fprintf(&all, "%08x-%d ", hash.Sum32(), index)
	}
	return all.String()
}

// text returns the text of a streamed answer.
func text(content []byte) string {
	var all strings.Builder
	for line := range bytes.Lines(content) {
		payload, found := bytes.CutPrefix(line, []byte("data: {"))
		if !found {
			continue
		}
		var piece struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal(append([]byte("{"), payload...), &piece) == nil && len(piece.Choices) == 1 {
			all.WriteString(piece.Choices[0].Delta.Content)
		}
	}
	return all.String()
}
