package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
)

// refuse sends the error as the complete response.
func refuse(writer http.ResponseWriter, id string, failure *outcome.Error) {
	entry := failure.Kind.Entry()
	header := writer.Header()
	header.Set("Content-Type", contentJSON)
	header.Set(headerRequestID, id)
	header.Set(headerKind, entry.Name)
	header.Set(headerOutcome, string(entry.Execution))
	if failure.RetryAfter > 0 {
		header.Set(headerRetry, strconv.Itoa(ceilSeconds(failure.RetryAfter)))
	}
	writer.WriteHeader(entry.Status)
	_, _ = writer.Write(refusalBody(id, failure))
}

// refusalBody returns the error object of the completion interface with outcome, advice and identifier added.
func refusalBody(id string, failure *outcome.Error) []byte {
	entry := failure.Kind.Entry()
	body := struct {
		Error any `json:"error"`
	}{struct {
		Message    string `json:"message"`
		Type       string `json:"type"`
		Outcome    string `json:"outcome"`
		Advice     string `json:"advice"`
		RetryAfter int    `json:"retry_after_seconds,omitempty"`
		RequestID  string `json:"request_id"`
	}{failure.Message, entry.Name, string(entry.Execution), string(entry.Advice), ceilSeconds(failure.RetryAfter), id}}
	encoded, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"type":"Internal"}}`)
	}
	return encoded
}

// ceilSeconds returns the delay in seconds, rounded up.
func ceilSeconds(delay time.Duration) int {
	return int(math.Ceil(delay.Seconds()))
}

// logRefusal logs the event of the error kind. The key Below holds the cause.
func logRefusal(id, tenant, class string, failure *outcome.Error) {
	fields := []any{"Request", id, "Tenant", tenant, "Class", class, "Kind", failure.Kind.String(), "Message", failure.Message}
	if failure.Cause != nil {
		fields = append(fields, "Below", failure.Cause.Error())
	}
	event.Refusal(failure.Kind).Log(fields...)
}
