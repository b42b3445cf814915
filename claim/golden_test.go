package claim

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/internal/golden"
)

func TestRecordOfOtherBuilds(t *testing.T) {
	golden.Format[record]{
		Name: "claim", Variants: golden.JSON, Encode: record.encode, Decode: decode,
		Sample: record{
			Fingerprint: 1, Attempt: "x", Daemon: "a", RunsUntil: time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
			Answer: &Response{Status: 200, ContentType: "text/plain", Body: []byte("ok"), Kept: true},
		},
	}.Check(t)
}
