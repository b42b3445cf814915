package relay

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/exchange"
)

func TestSplitterKeepsEvents(t *testing.T) {
	text := events(1, 500)
	for _, size := range []int{1, 7, 4096} {
		splitter := &splitter{}
		reader := &chunkReader{strings.NewReader(text), size}
		var got []byte
		for {
			part, err := splitter.next(reader)
			if len(part) > 0 && !bytes.HasSuffix(part, eventEnd) {
				t.Fatalf("a part ends with %q", part[len(part)-2:])
			}
			got = append(got, part...)
			if err != nil {
				break
			}
		}
		if string(got) != text || splitter.partial() {
			t.Errorf("read in steps of %d, got %d of %d bytes", size, len(got), len(text))
		}
	}
}

type chunkReader struct {
	io.Reader
	size int
}

func (chunkReader *chunkReader) Read(into []byte) (int, error) {
	return chunkReader.Reader.Read(into[:min(len(into), chunkReader.size)])
}

func TestEventsAfterDropsKnownEvents(t *testing.T) {
	fresh, last := eventsAfter([]byte(events(1, 5)), position{last: exchange.NewEventID(3)})
	if string(fresh) != events(4, 5) || last != (position{last: exchange.NewEventID(5)}) {
		t.Errorf("got %q up to %v", fresh, last)
	}
	if !slices.Equal([]byte(events(4, 5)), fresh) {
		t.Error("events changed")
	}
}

func BenchmarkSplitter(b *testing.B) {
	text := events(1, 57)
	for b.Loop() {
		splitter := &splitter{}
		reader := strings.NewReader(text)
		for {
			if _, err := splitter.next(reader); err != nil {
				break
			}
		}
	}
}

func TestEventID(t *testing.T) {
	for _, c := range []struct {
		event string
		id    exchange.EventID
	}{
		{"id: 7\ndata: x\n\n", exchange.NewEventID(7)},
		{"id:7\ndata: x\n\n", exchange.NewEventID(7)},
		{"weight-versions: 3\nid: 7\ndata: x\n\n", exchange.NewEventID(7)},
		{": heartbeat\nid: 7\n\n", exchange.NewEventID(7)},
		{"\n\nid: 7\n\n", exchange.NewEventID(7)},
		{"id: 6\ndata: x\nid: 7\n\n", exchange.NewEventID(7)},
		{"id: 7\nid: x\n\n", exchange.EventID{}},
		{"data: id: 7\n\n", exchange.EventID{}},
		{": id: 7\n\n", exchange.EventID{}},
		{"id: 18446744073709551616\n\n", exchange.EventID{}},
		{"id: 0\n\n", exchange.NewEventID(0)},
		{"id: -7\n\n", exchange.EventID{}},
		{"id:\n\n", exchange.EventID{}},
		{"\n\n", exchange.EventID{}},
	} {
		if id := eventID([]byte(c.event)); id != c.id {
			t.Errorf("the ID of %q is %v, want %v", c.event, id, c.id)
		}
	}
}
