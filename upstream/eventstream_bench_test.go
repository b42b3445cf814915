package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"k8s.io/utils/clock"
)

// endless repeats one text for ever.
type endless struct {
	text string
	at   int
}

// Read fills part with the text.
func (e *endless) Read(part []byte) (int, error) {
	n := copy(part, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}

// Close does nothing.
func (e *endless) Close() error {
	return nil
}

// BenchmarkNext parses one piece. The index of every piece is the same, so that the text can repeat.
func BenchmarkNext(b *testing.B) {
	piece := "id: 1\ndata: {\"id\":\"0123456789abcdef\",\"object\":\"chat.completion.chunk\",\"model\":\"m\"," +
		"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answer := &body{
		parent:   ctx,
		cancel:   cancel,
		watch:    newSilence(clock.RealClock{}, defaultSilenceLimit, cancel),
		response: &http.Response{Body: struct{ io.ReadCloser }{&endless{text: strings.Repeat(piece, 8)}}},
	}
	stream := newEventStream(answer, "0123456789abcdef", 0)
	b.ReportAllocs()
	b.SetBytes(int64(len(piece)))
	for b.Loop() {
		stream.last = 0
		if _, err := stream.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
}
