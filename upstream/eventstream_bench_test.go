package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"k8s.io/utils/clock"
)

// repeatingReader repeats one text without end.
type repeatingReader struct {
	text   string
	offset int
}

// Read copies as much of the text as fits into part.
func (reader *repeatingReader) Read(part []byte) (int, error) {
	n := copy(part, reader.text[reader.offset:])
	reader.offset = (reader.offset + n) % len(reader.text)
	return n, nil
}

// Close does nothing.
func (reader *repeatingReader) Close() error {
	return nil
}

// BenchmarkNext parses one piece per iteration. All pieces have the same index, so that the text can repeat.
func BenchmarkNext(b *testing.B) {
	piece := "id: 1\ndata: {\"id\":\"0123456789abcdef\",\"object\":\"chat.completion.chunk\",\"model\":\"m\"," +
		"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body := &responseBody{
		parent:   ctx,
		cancel:   cancel,
		watch:    newSilenceWatch(clock.RealClock{}, defaultSilenceTimeout, func(context.Context) {}),
		response: &http.Response{Body: struct{ io.ReadCloser }{&repeatingReader{text: strings.Repeat(piece, 8)}}},
	}
	stream := newEventStream(body, "0123456789abcdef", 0)
	b.ReportAllocs()
	b.SetBytes(int64(len(piece)))
	for b.Loop() {
		stream.lastIndex = 0
		if _, err := stream.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
}
