package relay

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
)

func TestSplitterKeepsEvents(t *testing.T) {
	text := events(1, 500)
	for _, size := range []int{1, 7, 4096} {
		splitter := &splitter{}
		reader := &chunks{strings.NewReader(text), size}
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
			t.Errorf("read in steps of %d, %d bytes came through of %d", size, len(got), len(text))
		}
	}
}

type chunks struct {
	io.Reader
	size int
}

func (chunks *chunks) Read(into []byte) (int, error) {
	return chunks.Reader.Read(into[:min(len(into), chunks.size)])
}

func TestAfterDropsKnownEvents(t *testing.T) {
	fresh, last := after([]byte(events(1, 5)), 3)
	if string(fresh) != events(4, 5) || last != 5 {
		t.Errorf("got %q up to %d", fresh, last)
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

// TestCrowdedReplicas covers more requests for a model than its replicas can begin before clients leave.
