// Package answer contains the helpers that the stand-ins share: reading HTTP requests, writing responses, and
// the endpoints for faults and counters.
package answer

import (
	"encoding/json"
	"net/http"
)

// The header that states whether a request was executed, and its value for a request that was not.
const (
	OutcomeHeader = "X-Outcome"
	NotRun        = "not run"
)

// JSON writes a response with the status and the value as JSON. It panics if the value cannot be encoded.
func JSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("answer: value cannot be encoded: " + err.Error())
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// Refuse writes a response that states that the request was not executed.
func Refuse(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(OutcomeHeader, NotRun)
	JSON(writer, status, struct{ Reason string }{reason})
}

// Decode decodes the JSON body into value. If that fails, it refuses the request and returns false.
func Decode(writer http.ResponseWriter, request *http.Request, value any) bool {
	if err := json.NewDecoder(request.Body).Decode(value); err != nil {
		Refuse(writer, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// AbortConnection closes the connection without a response. It panics with http.ErrAbortHandler and does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
