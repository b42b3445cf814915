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

// lookEvery is the shortest interval at which the files are looked at.
const lookEvery = 5 * time.Second

// ErrNoCertificate means that the other end showed no certificate.
var ErrNoCertificate = errors.New("no certificate")

// Store holds the credentials of one daemon. It is safe for concurrent use. Use New.
type Store struct {
	settings Settings
	clock    clock.PassiveClock
	mutex    sync.Mutex
	// current is never nil.
	current *files
	// looked is the last time at which the files were looked at.
	looked time.Time
}

// New reads the files. It fails if one of them cannot be read or used.
func New(settings Settings, clock clock.PassiveClock) (*Store, error) {
	current, err := read(settings)
	if err != nil {
		return nil, err
	}
	return &Store{settings: settings, clock: clock, current: current, looked: clock.Now()}, nil
}

// ServerConfig returns the configuration of a listener that accepts daemons only.
func (store *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return store.newest().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return store.verify(state, x509.ExtKeyUsageClientAuth)
		},
	}
}

// ClientConfig returns the configuration of a client that calls daemons only. Daemons are called by
// address, so the chain of their certificate is verified here and its names are not.
func (store *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return store.newest().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return store.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks that an accepted authority signed the certificate of the other end.
func (store *Store) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	between := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		between.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         store.newest().authorities,
		Intermediates: between,
		CurrentTime:   store.clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return trace.Wrap(err)
}

// newest returns the files, read again if they changed. Files that cannot be used change nothing.
func (store *Store) newest() *files {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	now := store.clock.Now()
	if now.Sub(store.looked) < lookEvery {
		return store.current
	}
	store.looked = now
	changed, err := store.settings.changed()
	if err == nil && changed.Equal(store.current.changed) {
		return store.current
	}
	next, err := read(store.settings)
	if err != nil {
		event.CredentialsUnusable.LogError(err)
		return store.current
	}
	event.CredentialsRead.Log()
	store.current = next
	return store.current
}
