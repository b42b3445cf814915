// Package answer holds what the stand-ins share in reading and answering HTTP requests.
package answer

import (
	"encoding/json"
	"net/http"
)

// The header that proves whether a request took effect, and its value for one that did not.
const (
	OutcomeHeader = "X-Outcome"
	NotRun        = "not run"
)

// JSON answers with the value and the status.
func JSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("answer: value cannot be encoded: " + err.Error())
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// Refuse answers that the request took no effect.
func Refuse(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(OutcomeHeader, NotRun)
	JSON(writer, status, struct{ Reason string }{reason})
}

// Decode reads the JSON body into value. It refuses the request and returns false if that fails.
func Decode(writer http.ResponseWriter, request *http.Request, value any) bool {
	if err := json.NewDecoder(request.Body).Decode(value); err != nil {
		Refuse(writer, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// AbortConnection ends the connection without an answer.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
