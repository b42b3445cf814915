package front

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/topology"
)

// TestReleasesOfServicesAreShown checks that operators see the replicas of each release, also of one that left, and that releases
// without end do not fill the metrics.
func TestReleasesOfServicesAreShown(t *testing.T) {
	var shown releaseMeter
	metrics := meter.New()
	unnamed := topology.UnnamedRelease(topology.Incarnation{ID: "r"})
	shown.update(metrics, map[string]map[string]int{"s": {"v1": 3, unnamed: 1}})
	shown.update(metrics, map[string]map[string]int{"s": {"v2": 2}})
	text := metricsText(metrics)
	for _, want := range []string{`{subject="s/v1"} 0`, `{subject="s/v2"} 2`, `{subject="s/other"} 0`} {
		if !strings.Contains(text, string(meter.ReplicasByRelease)+want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	for number := range 3 * maxReleaseSeries {
		shown.update(metrics, map[string]map[string]int{"s": {fmt.Sprint("w", number): 1}})
	}
	text = metricsText(metrics)
	if count := strings.Count(text, string(meter.ReplicasByRelease)+"{"); count > maxReleaseSeries || !strings.Contains(text, `{subject="s/other"} 1`) {
		t.Errorf("the metrics show %d releases", count)
	}
}

// metricsText returns the metrics as operators read them.
func metricsText(metrics *meter.Meter) string {
	response := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	return response.Body.String()
}
