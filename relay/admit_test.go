package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// admitted is the outcome of a request that Admit does not refuse.
const admitted = outcome.Kind(-1)

// newAdmission returns a relay that bounds the use of removed keys by 5 s, whose configuration was confirmed the time ago. Without
// accounts it needs no keys.
func newAdmission(age time.Duration, accounts ...topology.Account) *Relay {
	fixture := newFixture()
	fixture.relay.settings.KeyRevocation = 5 * time.Second
	fixture.relay.deps.ConfigurationAge = func() time.Duration { return age }
	fixture.relay.Configure((&topology.Configuration{
		Version:  2,
		Routes:   []topology.Route{{Host: "h", PathPrefix: "/", Priority: 3}, {Host: "h", PathPrefix: "/public/", Public: true}},
		Accounts: accounts,
	}).Index())
	return fixture.relay
}

var testAccounts = []topology.Account{
	{Name: "a", Keys: []topology.KeyDigest{topology.DigestKey("k1"), topology.DigestKey("both")}, Priority: 1, HasPriority: true},
	{Name: "b", Keys: []topology.KeyDigest{topology.DigestKey("k2"), topology.DigestKey("both")}},
}

// TestKeysAreChecked guards against requests that run without a valid key or under another account, and against keys that are refused for
// good by a daemon that may not know them yet.
func TestKeysAreChecked(t *testing.T) {
	const fresh, late, tooLate = 2 * time.Second, 3 * time.Second, 4800 * time.Millisecond
	for _, c := range []struct {
		path    string
		key     exchange.Secret
		age     time.Duration
		account string
		kind    outcome.Kind
	}{
		{"/x", "k1", fresh, "a", admitted},
		{"/x", "k2", late, "b", admitted},
		{"/x", "both", fresh, "a", admitted},
		{"/x", "k1 ", fresh, "", outcome.Unauthenticated},
		{"/x", "", late, "", outcome.Unauthenticated},
		{"/x", "unknown", fresh, "", outcome.Unauthenticated},
		{"/x", "unknown", late, "", outcome.NotReady},
		{"/x", "k1", tooLate, "", outcome.NotReady},
		{"/x", "k1", 1<<63 - 1, "", outcome.NotReady},
		{"/public/x", "unknown", tooLate, "", admitted},
	} {
		t.Run(fmt.Sprint(c.path, " ", string(c.key), " ", c.age), func(t *testing.T) {
			request := &exchange.Request{Host: "h", Path: c.path, Metadata: exchange.Metadata{Key: c.key}}
			admission, failure := newAdmission(c.age, testAccounts...).Admit(t.Context(), request)
			name, kind := "", admitted
			if admission.Account != nil {
				name = admission.Account.Name
			}
			if failure != nil {
				kind = failure.Kind
			}
			if name != c.account || kind != c.kind || !admission.KeyChecked {
				t.Errorf("account %q, %v; want %q, %v", name, failure, c.account, c.kind)
			}
		})
	}
}

// TestNoKeysWithoutAccounts guards against deployments without accounts whose requests are refused or lose a header.
func TestNoKeysWithoutAccounts(t *testing.T) {
	relay := newAdmission(1 << 62)
	admission, failure := relay.Admit(t.Context(), &exchange.Request{Host: "h", Path: "/x"})
	if failure != nil || admission.KeyChecked || !relay.KeysUsable() {
		t.Errorf("%+v, %v", admission, failure)
	}
}

// TestPriorityOfTheAccount guards against accounts whose requests get the priority of the route.
func TestPriorityOfTheAccount(t *testing.T) {
	for index, want := range []int{1, 3} {
		served := &transaction{request: &exchange.Request{Account: &testAccounts[index]}, route: &topology.Route{Priority: 3}}
		if got := served.priority(); got != want {
			t.Errorf("account %s: priority %d, want %d", testAccounts[index].Name, got, want)
		}
	}
}

// TestLentRequestsNeedTheirAccount guards against a request that runs without an account since another daemon did not tell it.
func TestLentRequestsNeedTheirAccount(t *testing.T) {
	request := &exchange.Request{Host: "h", Path: "/x"}
	if _, failure := newAdmission(0, testAccounts...).ServeLent(t.Context(), request, Allowance{Attempts: 1}, &client{}); failure == nil || failure.Kind != outcome.NotReady {
		t.Errorf("ended as %v", failure)
	}
}

// TestRequestsAdmittedByAnotherConfiguration guards against a request that was admitted without a key while a configuration with accounts
// came into force: it must not run without an account.
func TestRequestsAdmittedByAnotherConfiguration(t *testing.T) {
	for _, c := range []struct {
		request exchange.Request
		refused bool
	}{
		{exchange.Request{Path: "/x"}, true},
		{exchange.Request{Path: "/x", KeyChecked: true}, true},
		{exchange.Request{Path: "/x", KeyChecked: true, Account: &testAccounts[0]}, false},
		{exchange.Request{Path: "/public/x"}, true},
		{exchange.Request{Path: "/public/x", KeyChecked: true}, false},
	} {
		c.request.Host = "h"
		relay := newAdmission(0, testAccounts...)
		configuration, route, failure := relay.match(&c.request)
		if failure != nil {
			t.Fatal(failure)
		}
		if failure := checkAdmitted(configuration, route, &c.request); (failure != nil) != c.refused {
			t.Errorf("%s, checked %t, account %q: %v", c.request.Path, c.request.KeyChecked, c.request.AccountName(), failure)
		}
	}
}
