package front

import (
	"testing"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// TestLeastVersionOfLentRequests guards against daemons of earlier builds that would carry out a request without a part of what it
// states: they take the event zero for none (issue 77), and do not know accounts.
func TestLeastVersionOfLentRequests(t *testing.T) {
	plain, ofAccount := &exchange.Request{}, &exchange.Request{Account: &topology.Account{Name: "a"}}
	for _, c := range []struct {
		name    string
		request *exchange.Request
		last    exchange.EventID
		want    protocol.Version
	}{
		{"a new stream", plain, exchange.EventID{}, protocol.Untold},
		{"after event zero", plain, exchange.NewEventID(0), protocol.EventZero},
		{"after event one", plain, exchange.NewEventID(1), protocol.Untold},
		{"of an account", ofAccount, exchange.EventID{}, protocol.Accounts},
		{"of an account, after event zero", ofAccount, exchange.NewEventID(0), protocol.EventZero},
		{"of an account, after event one", ofAccount, exchange.NewEventID(1), protocol.Accounts},
	} {
		if got := leastVersion(c.request, relay.Allowance{ResumeAfter: c.last}); got != c.want {
			t.Errorf("%s: version %d, want %d", c.name, got, c.want)
		}
	}
}
