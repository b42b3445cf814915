package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"k8s.io/utils/clock"
)

// newStream returns a stream of the request r1 that reads from source.
func newStream(t *testing.T, source io.Reader) *eventStream {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	body := &responseBody{
		parent:   ctx,
		cancel:   cancel,
		watch:    newSilenceWatch(clock.RealClock{}, defaultSilenceTimeout, func(context.Context) {}),
		response: &http.Response{Body: io.NopCloser(source)},
	}
	return newEventStream(body, "r1", 0)
}

func TestStreamsAreParsedStrictly(t *testing.T) {
	const valid = `{"id":"r1"}`
	long := `{"id":"r1","text":"` + strings.Repeat("x", 5*bufferSize) + `"}`
	cases := []struct {
		name   string
		text   string
		pieces []string
		end    error
	}{
		{"two pieces", "id: 1\ndata: " + valid + "\n\nid: 2\ndata: " + valid + "\n\ndata: [DONE]\n\n", []string{valid, valid}, io.EOF},
		{"with heartbeats and CRLF", ": heartbeat\r\n\r\nid: 1\r\ndata: " + valid + "\r\n\r\ndata: [DONE]\r\n\r\n", []string{valid}, io.EOF},
		{"a comment after each piece", "id: 1\ndata: " + valid + "\n\n: heartbeat\n\nid: 2\ndata: " + valid + "\n\n: heartbeat\n\ndata: [DONE]\n\n", []string{valid, valid}, io.EOF},
		{"identifier not at the start", "id: 1\ndata: {\"a\": 1, \"id\": \"r1\"}\n\ndata: [DONE]\n\n", []string{`{"a": 1, "id": "r1"}`}, io.EOF},
		{"payload on two lines", "id: 1\ndata: {\"id\":\ndata: \"r1\"}\n\ndata: [DONE]\n\n", []string{"{\"id\":\n\"r1\"}"}, io.EOF},
		{"long piece", "id: 1\ndata: " + long + "\n\ndata: [DONE]\n\n", []string{long}, io.EOF},
		{"piece without end", "id: 1\ndata: " + strings.Repeat("x", 2*maxPieceBytes), nil, ErrTruncated},
		{"lines without end", "id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 2*maxPieceBytes/1000), nil, ErrTruncated},
		{"no end marker", "id: 1\ndata: " + valid + "\n\n", []string{valid}, ErrTruncated},
		{"connection closed within a piece", "id: 1\ndata: " + valid[:5], nil, ErrTruncated},
		{"missing piece", "id: 1\ndata: " + valid + "\n\nid: 3\ndata: " + valid + "\n\n", []string{valid}, ErrTruncated},
		{"pieces from zero", "id: 0\ndata: " + valid + "\n\nid: 1\ndata: " + valid + "\n\ndata: [DONE]\n\n", nil, ErrTruncated},
		{"repeated piece", "id: 1\ndata: " + valid + "\n\nid: 1\ndata: " + valid + "\n\n", []string{valid}, ErrTruncated},
		{"no index", "data: " + valid + "\n\n", nil, ErrTruncated},
		{"another request", "id: 1\ndata: {\"id\":\"r2\"}\n\n", nil, ErrMismatched},
		{"longer identifier", "id: 1\ndata: {\"id\":\"r11\"}\n\n", nil, ErrMismatched},
		{"no identifier", "id: 1\ndata: {}\n\n", nil, ErrMismatched},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stream := newStream(t, strings.NewReader(c.text))
			var pieces []string
			for {
				piece, err := stream.Next(t.Context())
				if err != nil {
					if !errors.Is(err, c.end) {
						t.Errorf("ended with %v, not %v", err, c.end)
					}
					break
				}
				pieces = append(pieces, string(piece.Data))
			}
			if !slices.Equal(pieces, c.pieces) {
				t.Errorf("pieces are %q", pieces)
			}
			if _, err := stream.Next(t.Context()); !errors.Is(err, c.end) {
				t.Errorf("error after the end is %v", err)
			}
		})
	}
}
