package lending

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/golden"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/relay"
)

// lentContent is what a lent request holds.
type lentContent struct {
	Request   exchange.Request
	Allowance relay.Allowance
}

func TestRequestOfOtherBuilds(t *testing.T) {
	now := time.Unix(1000, 0)
	decode := func(sent http.Header) (http.Header, exchange.Metadata) { return sent, exchange.Metadata{} }
	handler := NewHandler(nil, decode, testingclock.NewFakeClock(now), nil, nil)
	golden.Format[lentContent]{
		Name: "request", Variants: golden.Message(&lendingpb.Request{}),
		Sample: lentContent{
			Request: exchange.Request{
				Method: "PUT", Target: "/a%2Fb", Host: "h", Path: "/a/b", Header: http.Header{"Id": {"7"}}, Body: []byte("b"), Arrived: now,
				Metadata: exchange.Metadata{ClientTimeout: time.Second},
			},
			Allowance: relay.Allowance{Attempts: 2, Service: "s", Release: "v", ResumeAfter: exchange.NewEventID(3), Configuration: 4},
		},
		Encode: func(sample lentContent) []byte {
			content, err := proto.Marshal(NewClient("a", nil).encode(&sample.Request, time.Second, sample.Allowance))
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (lentContent, error) {
			encoded := &lendingpb.Request{}
			err := proto.Unmarshal(content, encoded)
			request, allowance := handler.request(encoded)
			return lentContent{*request, allowance}, err
		},
	}.Check(t)
}

// checkHead checks the head of a response or refusal.
func checkHead[T any](t *testing.T, name string, sample T, encode func(T) *lendingpb.Head, decode func(*relay.LentReply, error) (T, error)) {
	t.Helper()
	golden.Format[T]{
		Name: name, Sample: sample, Variants: golden.Message(&lendingpb.Head{}),
		Encode: func(sample T) []byte {
			content, err := proto.Marshal(encode(sample))
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (T, error) {
			sent := append(protowire.AppendVarint(nil, uint64(len(content))), content...)
			return decode(decodeResponse(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(sent))}))
		},
	}.Check(t)
}

// headContent is what the head of a response holds.
type headContent struct {
	Status      int
	Header      http.Header
	EventStream bool
	Release     string
	Runs        int
}

func TestHeadOfOtherBuilds(t *testing.T) {
	checkHead(t, "head", headContent{207, http.Header{"X": {"1", "2"}}, true, "v", 2},
		func(sample headContent) *lendingpb.Head {
			return &lendingpb.Head{
				Status: uint64(sample.Status), Header: encodeHeader(sample.Header), EventStream: sample.EventStream, Release: []byte(sample.Release),
				Runs: uint64(sample.Runs),
			}
		},
		func(reply *relay.LentReply, err error) (headContent, error) {
			if err != nil {
				return headContent{}, err
			}
			return headContent{reply.Status, reply.Header, reply.EventStream, reply.Release, reply.Runs}, nil
		})
}

// refusalContent is what a refusal says.
type refusalContent struct {
	Kind       outcome.Kind
	Message    string
	RetryAfter time.Duration
	Runs       int
	NotRun     bool
}

func TestRefusalOfOtherBuilds(t *testing.T) {
	checkHead(t, "refusal", refusalContent{outcome.QueueFull, "full", time.Second, 0, true},
		func(sample refusalContent) *lendingpb.Head {
			return &lendingpb.Head{Refusal: sample.Kind.String(), Message: sample.Message, RetryAfter: uint64(sample.RetryAfter.Milliseconds())}
		},
		func(_ *relay.LentReply, err error) (refusalContent, error) {
			refusal := relay.AsRefusal(err)
			if refusal == nil {
				return refusalContent{}, err
			}
			failure := refusal.Failure
			return refusalContent{failure.Kind, failure.Message, failure.RetryAfter, refusal.Runs, refusal.NotRun()}, nil
		})
}

// FuzzHead checks that no response of another build ends the daemon, and that a request counts as not run only if the head says so.
func FuzzHead(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x08\x32\x05Later\x48\x01"))
	f.Add([]byte("\x0a\x08\xc8\x01\x12\x05\x0a\x01X\x12\x00"))
	f.Fuzz(func(t *testing.T, content []byte) {
		reply, err := decodeResponse(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(content))})
		if err == nil {
			_, _ = io.Copy(io.Discard, reply.Body)
			return
		}
		if refusal := relay.AsRefusal(err); refusal != nil && refusal.NotRun() && refusal.Runs > 0 {
			t.Errorf("%q counts as not run after %d runs", content, refusal.Runs)
		}
	})
}
