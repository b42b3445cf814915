package daemon

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/credential"
	"github.com/bronzestall/bronzestall/internal/testkeys"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/settings"
)

// TestOnlyDaemonsWithAcceptedCertificatesMayCall calls a daemon with credentials from one with an accepted
// certificate, one with a certificate of another authority and one without credentials.
func TestOnlyDaemonsWithAcceptedCertificatesMayCall(t *testing.T) {
	now := time.Now()
	ours, theirs := testkeys.NewAuthority(t, now), testkeys.NewAuthority(t, now)
	files := func(issuer *testkeys.Authority) testkeys.Files {
		issued := testkeys.NewFiles(t)
		issuer.Issue(t, issued, "entry", now.Add(time.Hour))
		issued.Trust(t, ours)
		return issued
	}
	daemon, err := New(settings.Settings{
		Name: "entry-1", DataCentre: "north", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		DataCentres:     []settings.DataCentre{{Name: "north", Region: "one"}},
		PeerCredentials: settings.PeerCredentials(files(ours)),
	}.WithDefaults(), Deps{})
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- daemon.peers.serve() }()
	address := daemon.peers.listener.Addr().String()
	for _, test := range []struct {
		name   string
		issuer *testkeys.Authority
		want   bool
	}{
		{"certificate of the accepted authority", ours, true},
		{"certificate of another authority", theirs, false},
		{"no credentials", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			caller := peer.Settings{Name: "entry-2", DataCentre: "north"}
			if test.issuer != nil {
				store, err := credential.New(credential.Settings(files(test.issuer)), clock.RealClock{})
				if err != nil {
					t.Fatal(err)
				}
				caller.UseTLS = true
				caller.Client = peer.NewClient(store.ClientConfig())
			}
			node := peer.NewNode(caller, clock.RealClock{}, rand.New(rand.NewPCG(1, 1)))
			_, err := node.ReportDemand(context.Background(), address, "", nil)
			if got := err == nil; got != test.want {
				t.Errorf("call succeeds is %t, want %t: %v", got, test.want, err)
			}
		})
	}
	daemon.close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
