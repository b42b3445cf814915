package frontsoak

import (
	"fmt"
	"hash/crc32"
	"strings"
)

// streamComment is sent with each event of a stream.
const streamComment = ": heartbeat\n\n"

// eventForm is how replicas write the events of streams. The zero value has a comment with each event, and numbers from zero about half
// of the streams that no client takes up.
type eventForm struct {
	// plain leaves that out: builds before the mend of issue 77 do not keep such streams whole.
	plain bool
}

// first returns the number of the first event of the stream.
func (form eventForm) first(id string) int {
	if form.plain || strings.HasPrefix(id, takeUpPrefix) {
		return 1
	}
	return int(crc32.ChecksumIEEE([]byte(id)) % 2)
}

// comment returns what follows each event.
func (form eventForm) comment() string {
	if form.plain {
		return ""
	}
	return streamComment
}

// expected returns the complete stream of a request, without comments.
func (form eventForm) expected(id string) string {
	var text strings.Builder
	for number := form.first(id); number < form.first(id)+streamEvents; number++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, id)
	}
	return text.String()
}

// withoutComments returns the stream without the comments of replicas, and without one whose end is missing.
func withoutComments(content string) string {
	content = strings.ReplaceAll(content, streamComment, "")
	if begin := strings.LastIndex(content, "\n\n:"); begin >= 0 && strings.HasPrefix(streamComment, content[begin+len("\n\n"):]) {
		content = content[:begin+len("\n\n")]
	}
	return content
}
