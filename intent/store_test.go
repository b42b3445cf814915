package intent

import (
	"encoding/json"
	"testing"

	"github.com/bronzestall/bronzestall/upstream"
)

// TestTrimmedBudgetKeepsUnknownFields guards against issue 48: a holder that trimmed the budget of a former one of a newer build
// erased what that one had written there.
func TestTrimmedBudgetKeepsUnknownFields(t *testing.T) {
	const (
		former = `"Fence":1,"Sender":{"VM":"entry-2","Process":"p2","Reign":1},"Loads":1`
		closed = `{"Upstream":"v","BootId":"","Memory":6}`
		open   = `{"Upstream":"u","Memory":5,"Pinned":true}`
	)
	var budget Budget
	if err := json.Unmarshal([]byte(`{`+former+`,"Shares":[`+closed+`,`+open+`],"Reason":"r"}`), &budget); err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker(self, orderLifetime)
	tracker.AddBudget(budget, at(0))
	tracker.MarkSenderEnded(other, at(1))
	tracker.Observe(View{AsOf: at(40), State: upstream.State{Upstream: "v", BootID: "b2"}})
	trimmed := tracker.TrimBudgets(at(41))
	want := `{` + former + `,"Shares":[` + open + `],"Reason":"r"}`
	if len(trimmed) != 1 || string(encode(trimmed[0])) != want {
		t.Errorf("the rows become %s, want %s", encode(trimmed), want)
	}
}
