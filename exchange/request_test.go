package exchange

import "testing"

// TestFingerprintsOfRetries guards against issue 22: a request that crashes replicas is retried with the same path
// and body, but may have another query.
func TestFingerprintsOfRetries(t *testing.T) {
	first := Request{Method: "POST", Host: "h", Path: "/a", Target: "/a?page=1", Body: []byte("b")}
	cases := []struct {
		name string
		next Request
		same bool
	}{
		{"equal", first, true},
		{"another query", Request{Method: "POST", Host: "h", Path: "/a", Target: "/a?page=2", Body: []byte("b")}, true},
		{"another identifier", Request{Method: "POST", Host: "h", Path: "/a", Target: "/a", Body: []byte("b"), Metadata: Metadata{ID: "2"}}, true},
		{"another path", Request{Method: "POST", Host: "h", Path: "/b", Target: "/b?page=1", Body: []byte("b")}, false},
		{"another body", Request{Method: "POST", Host: "h", Path: "/a", Target: "/a?page=1", Body: []byte("c")}, false},
		{"another host", Request{Method: "POST", Host: "i", Path: "/a", Target: "/a?page=1", Body: []byte("b")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if same := c.next.Fingerprint() == first.Fingerprint(); same != c.same {
				t.Errorf("the fingerprints are equal: %v", same)
			}
		})
	}
	one, two := Request{Path: "/a", Target: "/a?page=1"}, Request{Path: "/a", Target: "/a?page=2"}
	if one.Fingerprint() == two.Fingerprint() {
		t.Error("requests without a body are not told apart by their queries")
	}
}
