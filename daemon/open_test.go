package daemon

import (
	"errors"
	"net"
	"testing"

	"github.com/bronzestall/bronzestall/settings"
)

// countedListener counts the listeners that are open.
type countedListener struct {
	net.Listener
	open *int
}

func (listener countedListener) Close() error {
	*listener.open--
	return listener.Listener.Close()
}

// TestListenersOfAFailedStartAreClosed covers an address for peers that cannot be opened after the others were.
func TestListenersOfAFailedStartAreClosed(t *testing.T) {
	open, opened := 0, 0
	listen := func(network, address string) (net.Listener, error) {
		if address == "127.0.0.1:1" {
			return nil, errors.New("address in use")
		}
		listener, err := net.Listen(network, address)
		if err == nil {
			open++
			opened++
		}
		return countedListener{listener, &open}, err
	}
	_, err := New(settings.Settings{
		Name: "entry-1", DataCentre: "north", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:1",
		DataCentres: []settings.DataCentre{{Name: "north", Region: "one"}},
	}.WithDefaults(), Deps{Listen: listen})
	if err == nil || opened != 2 || open != 0 {
		t.Errorf("%v; %d listeners were opened, %d are open", err, opened, open)
	}
}
