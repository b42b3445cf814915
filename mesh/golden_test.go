package mesh

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/internal/golden"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/quota"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

var (
	goldenTime    = time.Unix(1000, 0)
	goldenReplica = topology.Incarnation{ID: "e", Started: 3}
	goldenKey     = demand.Key{Service: "s", Model: "m", Adapter: "a"}
	goldenFlight  = InFlightCounts{{Incarnation: goldenReplica, Key: goldenKey}: testInFlight}
)

// checkMessage checks a message that is encoded from and decoded to a value.
func checkMessage[Message proto.Message, T any](t *testing.T, name string, empty Message, sample T, encode func(T) Message, decode func(Message) T) {
	t.Helper()
	golden.Format[T]{
		Name: name, Sample: sample, Variants: golden.Message(empty),
		Encode: func(sample T) []byte {
			content, err := proto.Marshal(encode(sample))
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (T, error) {
			message := proto.Clone(empty).(Message)
			err := proto.Unmarshal(content, message)
			return decode(message), err
		},
	}.Check(t)
}

// greetingContent is what a greeting holds.
type greetingContent struct {
	Heartbeat Heartbeat
	InFlight  InFlightCounts
	Suspects  []quarantine.Suspect
	Leaving   []topology.Incarnation
	Limits    []ratelimit.Entry
	AskAll    bool
}

func (content greetingContent) encode() *meshpb.Greeting {
	return &meshpb.Greeting{
		News:     []*meshpb.News{content.Heartbeat.encode()},
		Loads:    content.InFlight.encode(),
		Suspects: encodeSuspects(content.Suspects, goldenTime),
		Leaving:  encodeIncarnations(content.Leaving),
		Limits:   encodeLimits(content.Limits, goldenTime),
		AskAll:   content.AskAll,
	}
}

func decodeGreeting(encoded *meshpb.Greeting) greetingContent {
	content := greetingContent{
		InFlight: decodeInFlightCounts(encoded.GetLoads()),
		Suspects: decodeSuspects(encoded.GetSuspects(), goldenTime),
		Leaving:  decodeIncarnations(encoded.GetLeaving()),
		Limits:   decodeLimits(encoded.GetLimits(), goldenTime),
		AskAll:   encoded.GetAskAll(),
	}
	for _, news := range encoded.GetNews() {
		content.Heartbeat = decodeHeartbeat(news)
		content.Heartbeat.Unknown = nil
	}
	return content
}

func TestGreetingOfOtherBuilds(t *testing.T) {
	crash := quarantine.Crash{Upstream: "e", BootID: "1", Sequence: 2}
	checkMessage(t, "greeting", &meshpb.Greeting{}, greetingContent{
		Heartbeat: Heartbeat{
			Member:      Member{Name: "a", Address: "127.0.0.1:1", DataCentre: "z"},
			State:       State{ConfigurationVersion: 4, RosterVersion: datastore.NewVersion(2, 5), StoreAge: time.Second, Fence: 6, Leaving: true, CutOff: true},
			Incarnation: 7, Sequence: 8, Age: 9 * time.Millisecond,
		},
		InFlight: goldenFlight,
		Suspects: []quarantine.Suspect{{
			Kind: quarantine.PromptPart, Fingerprint: 7, Until: goldenTime.Add(time.Minute),
			Crashes: []quarantine.Crash{crash}, Times: []quarantine.CrashTime{{At: goldenTime.Add(-time.Second), Silent: true}},
			Cleared: []quarantine.Crash{crash}, Retracted: []quarantine.Crash{crash},
		}},
		Leaving: []topology.Incarnation{goldenReplica},
		Limits:  []ratelimit.Entry{{Incarnation: goldenReplica, Limit: ratelimit.Limit{PerSecond: 2.5, Confirmed: goldenTime.Add(-time.Second)}}},
		AskAll:  true,
	}, greetingContent.encode, decodeGreeting)
}

func TestReportOfOtherBuilds(t *testing.T) {
	checkMessage(t, "report", &meshpb.Report{}, Report{
		Name: "a", InFlight: goldenFlight, Fence: 2, Revision: 3, Wait: time.Second, PollOnly: true, Partial: true,
		Demand: []demand.KeyDemand{{
			Key: goldenKey, Waiting: 2, Oldest: goldenTime.Add(-time.Second), Rate: 1.5, Tokens: 100, Target: 500 * time.Millisecond,
			LastArrival: goldenTime.Add(-time.Millisecond),
		}},
	}, func(report Report) *meshpb.Report { return report.encode(goldenTime) },
		func(encoded *meshpb.Report) Report { return decodeReport(encoded, goldenTime) })
}

func TestAnnouncementOfOtherBuilds(t *testing.T) {
	checkMessage(t, "announcement", &meshpb.Announcement{}, directory.Announcement{
		Fence: 4, Revision: 9, Since: 2,
		Placements: []directory.Placement{{
			Incarnation: goldenReplica,
			Holding:     topology.Holding{Orders: 3, Models: []topology.LoadedModel{{Model: "m", Version: 1, Adapters: []string{"a"}}}},
			Loading:     directory.Loading{Model: "n", FromStore: true, Ready: goldenTime.Add(time.Second)},
		}},
		Forecasts: []directory.Forecast{{Key: goldenKey, Ready: goldenTime.Add(2 * time.Second)}},
		InFlight:  map[topology.Incarnation]demand.InFlight{goldenReplica: testInFlight},
	}, func(sample directory.Announcement) *meshpb.Announcement {
		return encodeAnnouncement(&sample, true, goldenTime)
	},
		func(encoded *meshpb.Announcement) directory.Announcement {
			return decodeAnnouncement(encoded, goldenTime)
		})
}

func TestUpdateOfOtherBuilds(t *testing.T) {
	checkMessage(t, "update", &meshpb.Answer{}, UpdateResponse{
		Configuration: []byte(`{"version":1}`), RosterVersion: datastore.NewVersion(1, 9), Full: true, Removed: []string{"r"},
		Rows:     []Row{{Key: "k", Version: datastore.NewVersion(1, 8), Value: []byte("v")}},
		StoreAge: time.Second, StoreLost: true, OutageEnded: true, OutageEndAge: time.Minute,
	}, func(sample UpdateResponse) *meshpb.Answer { return sample.encode() }, decodeUpdateResponse)
}

func TestTokensOfOtherBuilds(t *testing.T) {
	checkMessage(t, "tokens", &meshpb.TokenRequest{}, []ratelimit.Ask{{Replica: goldenReplica, Sequence: 2, Answered: 1, Held: 3, Wanted: 4, Unused: 5}},
		func(asks []ratelimit.Ask) *meshpb.TokenRequest {
			return &meshpb.TokenRequest{Daemon: "a", Asks: encodeAsks(asks)}
		},
		func(encoded *meshpb.TokenRequest) []ratelimit.Ask { return decodeAsks(encoded.GetAsks()) })
	checkMessage(t, "grants", &meshpb.TokenResponse{}, []ratelimit.Grant{{Tokens: 2, Next: time.Second, Refused: true}},
		func(grants []ratelimit.Grant) *meshpb.TokenResponse {
			return &meshpb.TokenResponse{Grants: []*meshpb.TokenGrant{{Tokens: uint32(grants[0].Tokens), Next: uint64(grants[0].Next.Milliseconds()), Refused: grants[0].Refused}}}
		},
		func(encoded *meshpb.TokenResponse) []ratelimit.Grant { return decodeGrants(encoded.GetGrants()) })
}

func TestQuotasOfOtherBuilds(t *testing.T) {
	ask := quota.Ask{Account: "x", Sequence: 2, Answered: 1, Held: 3, First: 0.5, Need: 4, Ahead: 5, Mean: 6, Returned: 7, Demand: 8, Closing: true}
	checkMessage(t, "quotas", &meshpb.QuotaRequest{}, []quota.Ask{ask},
		func(asks []quota.Ask) *meshpb.QuotaRequest {
			return &meshpb.QuotaRequest{Daemon: "a", Asks: encodeQuotaAsks(asks)}
		},
		func(encoded *meshpb.QuotaRequest) []quota.Ask { return decodeQuotaAsks(encoded.GetAsks()) })
	checkMessage(t, "quotagrants", &meshpb.QuotaResponse{}, []quota.Grant{{Amount: 2.5, Next: time.Second, Available: time.Minute, Refused: true}},
		func(grants []quota.Grant) *meshpb.QuotaResponse {
			return &meshpb.QuotaResponse{Grants: encodeQuotaGrants(grants)}
		},
		func(encoded *meshpb.QuotaResponse) []quota.Grant { return decodeQuotaGrants(encoded.GetGrants()) })
}

func TestStoreCallOfOtherBuilds(t *testing.T) {
	checkMessage(t, "storecall", &meshpb.TableCall{}, []datastore.Write{
		{Key: datastore.Key{Table: "t", Row: "r"}, Check: true, IfVersion: datastore.NewVersion(1, 2), Value: []byte("v")},
		{Key: datastore.Key{Table: "t", Row: "s"}, Check: true, Only: true},
		{Key: datastore.Key{Table: "t", Row: "u"}, Delete: true},
	}, encodeWrites, func(encoded *meshpb.TableCall) []datastore.Write { return decodeWrites(encoded.GetWrites()) })
}

// FuzzGreeting checks that no message of another build ends the daemon, and that what it sends afterwards is no larger than its
// bounds allow.
func FuzzGreeting(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x10\x0a\x0e\x0a\x01b\x12\x09127.0.0.1\x82\x7d\x01x"))
	f.Fuzz(func(t *testing.T, content []byte) {
		greeting := &meshpb.Greeting{}
		if proto.Unmarshal(content, greeting) != nil {
			return
		}
		decoded := decodeGreeting(greeting)
		again := decodeGreeting(decoded.encode())
		if again.Heartbeat.Sequence != decoded.Heartbeat.Sequence || len(again.Limits) > maxLimits || len(again.Leaving) > maxLeaving {
			t.Errorf("%+v is read again as %+v", decoded, again)
		}
		for _, news := range greeting.GetNews() {
			if heartbeat := decodeHeartbeat(news); len(heartbeat.Unknown) > maxUnknownBytes {
				t.Errorf("%d bytes are passed on", len(heartbeat.Unknown))
			}
		}
	})
}

// FuzzMessages checks that no other message of another build ends the daemon.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x03\x0a\x01e\x12\x08\x0a\x01s\x20\xff\xff\xff\xff\x0f"))
	f.Fuzz(func(t *testing.T, content []byte) {
		report, announcement, update := &meshpb.Report{}, &meshpb.Announcement{}, &meshpb.Answer{}
		if proto.Unmarshal(content, report) == nil && decodeReport(report, goldenTime).Wait > maxWait {
			t.Error("a report waits for too long")
		}
		if proto.Unmarshal(content, announcement) == nil {
			decoded := decodeAnnouncement(announcement, goldenTime)
			_ = encodeAnnouncement(&decoded, true, goldenTime)
		}
		if proto.Unmarshal(content, update) == nil {
			decoded := decodeUpdateResponse(update)
			_ = decoded.encode()
		}
		tokens, grants, result := &meshpb.TokenRequest{}, &meshpb.TokenResponse{}, &meshpb.TableResult{}
		if proto.Unmarshal(content, tokens) == nil && len(decodeAsks(tokens.GetAsks())) > maxAsks {
			t.Error("too many questions are accepted")
		}
		quotas := &meshpb.QuotaRequest{}
		if proto.Unmarshal(content, quotas) == nil && len(decodeQuotaAsks(quotas.GetAsks())) > maxAsks {
			t.Error("too many questions are accepted")
		}
		if proto.Unmarshal(content, grants) == nil {
			_ = decodeGrants(grants.GetGrants())
		}
		if proto.Unmarshal(content, result) == nil && result.GetOutcome() > 0 && storeError(result) == nil {
			t.Errorf("the outcome %d counts as success", result.GetOutcome())
		}
	})
}
