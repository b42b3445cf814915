package credential

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
)

// checkInterval is the minimum interval between two checks of the files for changes.
const checkInterval = 5 * time.Second

// ErrNoCertificate means that the peer presented no certificate.
var ErrNoCertificate = errors.New("no certificate")

// Store holds the current credentials of one daemon. It is safe for concurrent use. Use New.
type Store struct {
	settings Settings
	clock    clock.PassiveClock
	mutex    sync.Mutex
	// current is never nil.
	current *credentials
	// checkedAt is the time of the last check for changes.
	checkedAt time.Time
}

// New loads the files. It returns an error if one of them cannot be read or parsed.
func New(settings Settings, clock clock.PassiveClock) (*Store, error) {
	current, err := load(settings)
	if err != nil {
		return nil, err
	}
	return &Store{settings: settings, clock: clock, current: current, checkedAt: clock.Now()}, nil
}

// ServerConfig returns the TLS configuration of a listener that accepts daemons only.
func (store *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return store.refresh().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return store.verify(state, x509.ExtKeyUsageClientAuth)
		},
	}
}

// ClientConfig returns the TLS configuration of a client that connects to daemons only. Daemons are dialled
// by IP address, so the certificate chain is verified but not the names in the certificate.
func (store *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return store.refresh().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return store.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks that the certificate of the peer chains to an accepted authority.
func (store *Store) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         store.refresh().authorities,
		Intermediates: intermediates,
		CurrentTime:   store.clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return trace.Wrap(err)
}

// refresh reloads the files if they changed and returns the current credentials. If the files cannot be
// used, it logs the error and returns the previous credentials.
func (store *Store) refresh() *credentials {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	now := store.clock.Now()
	if now.Sub(store.checkedAt) < checkInterval {
		return store.current
	}
	store.checkedAt = now
	modified, err := store.settings.modified()
	if err == nil && modified.Equal(store.current.modified) {
		return store.current
	}
	reloaded, err := load(store.settings)
	if err != nil {
		event.CredentialsUnusable.LogError(err)
		return store.current
	}
	event.CredentialsRead.Log()
	store.current = reloaded
	return store.current
}
