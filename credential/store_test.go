package credential

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	testclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/internal/testkeys"
)

var start = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

// newSettings writes files with a certificate signed by issuer and with the accepted authorities.
func newSettings(t *testing.T, issuer *testkeys.Authority, accepted ...*testkeys.Authority) Settings {
	t.Helper()
	files := testkeys.NewFiles(t)
	issuer.Issue(t, files, "entry-1", start.Add(2*time.Hour))
	files.Trust(t, accepted...)
	return Settings(files)
}

// canConnect reports whether server and client complete a handshake over loopback and transfer one byte.
func canConnect(server, client *tls.Config) bool {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return false
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, err = connection.Write([]byte{1})
			connection.Close()
		}
		accepted <- err
	}()
	connection, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		listener.Close()
		<-accepted
		return false
	}
	defer connection.Close()
	_, err = connection.Read(make([]byte, 1))
	return <-accepted == nil && err == nil
}

func TestOnlyCertificatesOfAcceptedAuthoritiesConnect(t *testing.T) {
	ours, theirs := testkeys.NewAuthority(t, start), testkeys.NewAuthority(t, start)
	clock := testclock.NewFakePassiveClock(start)
	newStore := func(settings Settings) *Store {
		store, err := New(settings, clock)
		if err != nil {
			t.Fatal(err)
		}
		return store
	}
	server := newStore(newSettings(t, ours, ours)).ServerConfig()
	expired := newSettings(t, ours, ours)
	ours.Issue(t, testkeys.Files(expired), "entry-1", start.Add(-time.Minute))
	for _, test := range []struct {
		name   string
		client *tls.Config
		want   bool
	}{
		{"daemon of the same authority", newStore(newSettings(t, ours, ours)).ClientConfig(), true},
		{"daemon of another authority", newStore(newSettings(t, theirs, ours)).ClientConfig(), false},
		{"daemon that does not accept the server", newStore(newSettings(t, ours, theirs)).ClientConfig(), false},
		{"daemon with an expired certificate", newStore(expired).ClientConfig(), false},
		{"client without a certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"client with an older TLS version", &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := canConnect(server, test.client); got != test.want {
				t.Errorf("canConnect returned %t, want %t", got, test.want)
			}
		})
	}
}

func TestRotationWithoutRestart(t *testing.T) {
	old, next := testkeys.NewAuthority(t, start), testkeys.NewAuthority(t, start)
	clock := testclock.NewFakePassiveClock(start)
	serverFiles, clientFiles := newSettings(t, old, old), newSettings(t, old, old)
	server, err := New(serverFiles, clock)
	if err != nil {
		t.Fatal(err)
	}
	client, err := New(clientFiles, clock)
	if err != nil {
		t.Fatal(err)
	}
	serverConfig, clientConfig := server.ServerConfig(), client.ClientConfig()
	step := func(name string, change func()) {
		change()
		for _, settings := range []Settings{serverFiles, clientFiles} {
			touch(t, settings, clock.Now())
		}
		clock.SetTime(clock.Now().Add(checkInterval))
		if !canConnect(serverConfig, clientConfig) {
			t.Errorf("connection failed after step: %s", name)
		}
	}
	step("both authorities accepted by the server", func() { testkeys.Files(serverFiles).Trust(t, old, next) })
	step("both authorities accepted by the client", func() { testkeys.Files(clientFiles).Trust(t, old, next) })
	step("new certificate of the client", func() { next.Issue(t, testkeys.Files(clientFiles), "entry-1", start.Add(2*time.Hour)) })
	step("new certificate of the server", func() { next.Issue(t, testkeys.Files(serverFiles), "entry-1", start.Add(2*time.Hour)) })
	step("old authority removed", func() { testkeys.Files(serverFiles).Trust(t, next); testkeys.Files(clientFiles).Trust(t, next) })
	step("invalid certificate, previous one remains in use", func() {
		if err := os.WriteFile(clientFiles.CertificateFile, []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	outdated, err := New(newSettings(t, old, old, next), clock)
	if err != nil {
		t.Fatal(err)
	}
	if canConnect(serverConfig, outdated.ClientConfig()) {
		t.Error("a certificate of the removed authority is still accepted")
	}
}

// touch sets the modification time of the files, so that it differs between steps even if the file system
// records times at a low resolution.
func touch(t *testing.T, settings Settings, modified time.Time) {
	t.Helper()
	for _, path := range []string{settings.CertificateFile, settings.KeyFile, settings.AuthorityFile} {
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNewRejectsInvalidFiles(t *testing.T) {
	ours := testkeys.NewAuthority(t, start)
	for _, name := range []string{"certificate", "key", "authorities"} {
		settings := newSettings(t, ours, ours)
		if err := os.WriteFile(filepath.Join(filepath.Dir(settings.KeyFile), name), []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := New(settings, testclock.NewFakePassiveClock(start)); err == nil {
			t.Errorf("an invalid %s file was accepted", name)
		}
	}
}
