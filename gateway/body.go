package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"k8s.io/utils/ptr"

	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// defaultBodyBytes is the largest body if the settings name none.
	defaultBodyBytes = 8 << 20
	// defaultAnswerTokens is the assumed length of an answer if the caller names none.
	defaultAnswerTokens = 256
	// mostAnswerTokens and mostChoices bound what one request may ask for.
	mostAnswerTokens = 1 << 20
	mostChoices      = 128
	// bytesPerToken is the assumed length of a token of a prompt.
	bytesPerToken = 4
	// prefixBytes is the length of the first block of a prompt that engines are expected to cache.
	prefixBytes = 1024
)

// prompt is the part of a chat or completion body that the daemon reads.
type prompt struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Stream   bool            `json:"stream"`
	// MaxTokens is the largest length of an answer, and MaxCompletionTokens its newer name, which
	// goes before it. Either is nil if the caller names none.
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	// Choices is the number of answers to generate, or nil for one.
	Choices *int `json:"n"`
}

// content returns the prompt in the form of its interface.
func (prompt *prompt) content() []byte {
	if len(prompt.Messages) > 0 {
		return prompt.Messages
	}
	return prompt.Prompt
}

// tokens estimates the cost of the request in tokens.
func (prompt *prompt) tokens() int {
	answer := ptr.Deref(prompt.MaxCompletionTokens, ptr.Deref(prompt.MaxTokens, defaultAnswerTokens))
	return answer*ptr.Deref(prompt.Choices, 1) + len(prompt.content())/bytesPerToken
}

// check returns an error if a number of the body is one that no engine can serve.
func (prompt *prompt) check() error {
	for _, field := range []struct {
		name  string
		value *int
		most  int
	}{
		{"max_tokens", prompt.MaxTokens, mostAnswerTokens},
		{"max_completion_tokens", prompt.MaxCompletionTokens, mostAnswerTokens},
		{"n", prompt.Choices, mostChoices},
	} {
		if field.value != nil && (*field.value < 1 || *field.value > field.most) {
			return outcome.New(outcome.InvalidBody, "the field %s must be from 1 to %d", field.name, field.most)
		}
	}
	return nil
}

// prefix returns the first block of the prompt.
func (prompt *prompt) prefix() []byte {
	content := prompt.content()
	return content[:min(len(content), prefixBytes)]
}

// readBody reads a bounded body.
func (gateway *Gateway) readBody(writer http.ResponseWriter, req *http.Request) ([]byte, error) {
	limit := gateway.settings.Queue.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, req.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.New(outcome.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, outcome.New(outcome.InvalidBody, "the body could not be read").WithCause(err)
	}
	return body, nil
}

func parsePrompt(body []byte) (*prompt, error) {
	parsed := &prompt{}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, outcome.New(outcome.InvalidBody, "the body is not valid JSON of this interface").WithCause(err)
	}
	if parsed.Model == "" {
		return nil, outcome.New(outcome.MissingField, "the field model is missing")
	}
	if len(parsed.content()) == 0 {
		return nil, outcome.New(outcome.MissingField, "the field messages or prompt is missing")
	}
	if err := parsed.check(); err != nil {
		return nil, err
	}
	return parsed, nil
}
