package mesh

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// paceBytes bounds the bytes of a report for one replica that had requests.
const paceBytes = 100

// TestPacesPassBetweenDaemons guards against observations and values that are lost or changed on the way, against reports that grow,
// and against announcements without paces that look like those of a holder that knows of no difference.
func TestPacesPassBetweenDaemons(t *testing.T) {
	sums := pace.Sums{Service: "summaries", Slots: 32, Good: 9, Late: 2, Rejected: 1, Failed: 3}
	sums.Gaps = pace.Regression{Count: 12, X: 6.5, Y: 48.25, XX: 4.125, XY: 26, YY: 200.5}
	sums.Starts = pace.Regression{Count: 4, X: 28, Y: 20, XX: 196, XY: 140, YY: 100}
	sums.Pauses[0] = pace.Pauses{Target: 300 * time.Millisecond, Streams: 11, Late: 4}
	report := Report{Name: "a", Paces: map[topology.Incarnation]pace.Sums{goldenReplica: sums}}
	encoded := report.encode(goldenTime)
	if size := proto.Size(encoded.GetPaces()[0]); size > paceBytes {
		t.Errorf("the observations of a replica have %d bytes", size)
	}
	if got := decodeReport(encoded, goldenTime); !reflect.DeepEqual(got.Paces, report.Paces) {
		t.Errorf("got %+v, want %+v", got.Paces, report.Paces)
	}

	other := topology.Incarnation{ID: "f", Started: 4}
	value := pace.Value{Speed: 1.5, Window: 2.5, Cause: pace.Cold}
	value.Chances[0] = pace.Chance{Target: 300 * time.Millisecond, Late: -0.25}
	announcement := directory.Announcement{
		InFlight: map[topology.Incarnation]demand.InFlight{goldenReplica: testInFlight},
		Paces:    map[topology.Incarnation]pace.Value{goldenReplica: value, other: {Speed: 0.5}},
	}
	got := decodeAnnouncement(encodeAnnouncement(&announcement, false, goldenTime), goldenTime)
	if !reflect.DeepEqual(got.Paces, announcement.Paces) || got.InFlight[goldenReplica] != testInFlight {
		t.Errorf("got %+v, want %+v", got, announcement)
	}
	if got := decodeAnnouncement(&meshpb.Announcement{Running: []*meshpb.Load{{Running: 1}}}, goldenTime); got.Paces != nil {
		t.Errorf("an announcement of an older build has the paces %+v", got.Paces)
	}
}
