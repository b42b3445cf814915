package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/bronzestall/bronzestall/outcome"
)

// TestErrorsAfterABeginningNeverReachTheStream guards against a report in issue 37: a stream has begun and broke off, and the next
// replica responds with an error. Clients must get neither its text nor an end that looks complete.
func TestErrorsAfterABeginningNeverReachTheStream(t *testing.T) {
	asStream := func(next step) step {
		next.reply.EventStream = true
		return next
	}
	cases := []struct {
		name string
		next step
		// body is what follows the first two events, and failure is -1 if the stream becomes complete.
		body    string
		failure outcome.Kind
	}{
		{"the rest of the stream", asStream(ok(events(3, 4))), events(3, 4), -1},
		{"no further event", asStream(ok("")), "", -1},
		{"comments before the rest", asStream(ok(": wait\n\n" + events(3, 4))), ": wait\n\n" + events(3, 4), -1},
		{"a failure", answered(500, "oops", io.EOF), "", outcome.UpstreamLost},
		{"a failure with the text of events", answered(500, "data: oops\n\n", io.EOF), "", outcome.UpstreamLost},
		{"a success that is no stream", ok(`{"error":"oops"}`), "", outcome.UpstreamLost},
		{"an empty success that is no stream", ok(""), "", outcome.UpstreamLost},
		{"an error as a success with blank lines", ok("HTTP/1.1 500 Oops\r\n\r\noops\n\n"), "", outcome.UpstreamLost},
		{"an error in a stream", asStream(ok("HTTP/1.1 500 Oops\n\noops\n\n")), "", outcome.AnswerInvalid},
		{"an event without a number", asStream(ok("data: oops\n\n")), "", outcome.AnswerInvalid},
		{"an event without a number after the rest", asStream(ok(events(3, 4) + "data: oops\n\n")), "", outcome.AnswerInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(asStream(answered(200, events(1, 2), errors.New("reset"))), c.next)
				failure := fixture.serve(t.Context(), "/resume/x")
				kind := outcome.Kind(-1)
				if failure != nil {
					kind = failure.Kind
				}
				if got := fixture.client.body.String(); kind != c.failure || got != events(1, 2)+c.body {
					t.Errorf("ended as %v with %q", failure, strings.TrimPrefix(got, events(1, 2)))
				}
			})
		})
	}
}
