package daemon

import (
	"crypto/tls"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/credential"
	"github.com/bronzestall/bronzestall/peer"
)

// authenticate reads the peer credentials, if the settings name them, and creates the client for calls to
// other daemons unless the dependencies provide one.
func (daemon *Daemon) authenticate() error {
	named := daemon.settings.PeerCredentials
	var secure *tls.Config
	if named.IsSet() {
		store, err := credential.New(credential.Settings(named), daemon.clock)
		if err != nil {
			return trace.Wrap(err, "PeerCredentials")
		}
		daemon.credentials = store
		secure = store.ClientConfig()
	}
	if daemon.deps.PeerClient == nil {
		daemon.deps.PeerClient = peer.NewClient(secure)
	}
	return nil
}

// securePeers makes the peer server accept only TLS connections from daemons with accepted certificates.
// It does nothing without credentials.
func (daemon *Daemon) securePeers() {
	if daemon.credentials == nil {
		return
	}
	server := daemon.credentials.ServerConfig()
	daemon.peers.http.Protocols.SetHTTP2(true)
	daemon.peers.http.Protocols.SetUnencryptedHTTP2(false)
	daemon.peers.listener = tls.NewListener(daemon.peers.listener, server)
}
