package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/utils/ptr"

	"github.com/bronzestall/bronzestall/internal/requestbody"
	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// defaultBodyBytes is the maximum length of a body if the settings set none.
	defaultBodyBytes = 8 << 20
	// defaultResponseTokens is the assumed length of a response if the request sets no maximum.
	defaultResponseTokens = 256
	// maxResponseTokens and maxChoices limit what one request may ask for.
	maxResponseTokens = 1 << 20
	maxChoices        = 128
	// bytesPerToken is the assumed length of a prompt token in bytes.
	bytesPerToken = 4
	// prefixBytes is the assumed length of the first block of a prompt in an engine's prefix cache.
	prefixBytes = 1024
)

// prompt holds the fields of a chat or completion body that the daemon reads.
type prompt struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Stream   bool            `json:"stream"`
	// MaxTokens is the maximum length of a response in tokens. MaxCompletionTokens is its newer name
	// and takes precedence. Each is nil if the request does not set it.
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	// Choices is the number of responses to generate; nil means one.
	Choices *int `json:"n"`
}

// content returns the undecoded JSON of the messages, or of the prompt if there are no messages.
func (prompt *prompt) content() []byte {
	if len(prompt.Messages) > 0 {
		return prompt.Messages
	}
	return prompt.Prompt
}

// tokens estimates the cost of the request in tokens.
func (prompt *prompt) tokens() int {
	responseTokens := ptr.Deref(prompt.MaxCompletionTokens, ptr.Deref(prompt.MaxTokens, defaultResponseTokens))
	return responseTokens*ptr.Deref(prompt.Choices, 1) + len(prompt.content())/bytesPerToken
}

// validate returns an error if a number in the body is out of the range that engines can serve.
func (prompt *prompt) validate() error {
	for _, field := range []struct {
		name    string
		value   *int
		maximum int
	}{
		{"max_tokens", prompt.MaxTokens, maxResponseTokens},
		{"max_completion_tokens", prompt.MaxCompletionTokens, maxResponseTokens},
		{"n", prompt.Choices, maxChoices},
	} {
		if field.value != nil && (*field.value < 1 || *field.value > field.maximum) {
			return outcome.New(outcome.InvalidBody, "the field %s must be from 1 to %d", field.name, field.maximum)
		}
	}
	return nil
}

// prefix returns the first block of the prompt.
func (prompt *prompt) prefix() []byte {
	content := prompt.content()
	return content[:min(len(content), prefixBytes)]
}

// readBody reads the body. It returns BodyTooLarge if the body exceeds the limit of the settings, and DeadlineInQueue
// if it has not arrived by the deadline.
func (gateway *Gateway) readBody(writer http.ResponseWriter, req *http.Request, deadline time.Time) ([]byte, error) {
	limits := requestbody.Limits{Bytes: gateway.settings.Queue.BodyBytes, Timeout: deadline.Sub(gateway.clock.Now())}
	if limits.Bytes <= 0 {
		limits.Bytes = defaultBodyBytes
	}
	broken := outcome.New(outcome.InvalidBody, "the body could not be read")
	body, failure := requestbody.Read(writer, req, gateway.clock, limits, broken)
	if failure != nil {
		return nil, failure
	}
	defer body.Close()
	return body.Content, nil
}

// parsePrompt decodes and validates a chat or completion body.
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
	if err := parsed.validate(); err != nil {
		return nil, err
	}
	return parsed, nil
}
