package meter

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestNumberOfSeriesIsBounded(t *testing.T) {
	meter := New()
	const tenants = 3 * maxSeries
	for tenant := range tenants {
		meter.Count(Answered, Labels{Tenant: fmt.Sprint(tenant), Class: "gold"}, 1)
	}
	if len(meter.series) > maxSeries+1 {
		t.Errorf("%d series, bound is %d", len(meter.series), maxSeries+1)
	}
	aggregated := meter.metric(Answered, Labels{Tenant: other, Class: other}, newCounter).(interface{ Count() int64 })
	if got := aggregated.Count(); got != tenants-maxSeries {
		t.Errorf("the aggregated series counts %d, want %d", got, tenants-maxSeries)
	}
}

func TestHandlerServesEachKindOfMetric(t *testing.T) {
	meter := New()
	meter.Observe(FirstToken, Labels{Tenant: "a", Class: "gold"}, 3*time.Millisecond)
	meter.Count(Refused, Labels{Kind: "QueueFull"}, 2)
	meter.Set(InForce, Labels{}, 41)
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body := recorder.Body.String()
	for _, line := range []string{
		`bronzestall_first_token_microseconds{class="gold",tenant="a",quantile="0.99"} 3000`,
		`bronzestall_requests_refused{kind="QueueFull"} 2`,
		`bronzestall_release_note_in_force 41`,
	} {
		if !strings.Contains(body, line) {
			t.Errorf("no line %q in\n%s", line, body)
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	meter := New()
	labels := Labels{Tenant: "a", Class: "gold"}
	b.ReportAllocs()
	for b.Loop() {
		meter.Observe(BetweenTokens, labels, time.Millisecond)
	}
}
