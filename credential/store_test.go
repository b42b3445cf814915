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

// newSettings returns files with a certificate of one authority that accept those of others.
func newSettings(t *testing.T, issuer *testkeys.Authority, accepted ...*testkeys.Authority) Settings {
	t.Helper()
	files := testkeys.NewFiles(t)
	issuer.Issue(t, files, "entry-1", start.Add(2*time.Hour))
	files.Trust(t, accepted...)
	return Settings(files)
}

// connects reports whether both ends complete a handshake and can exchange a byte over loopback.
func connects(server, client *tls.Config) bool {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return false
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		end, err := listener.Accept()
		if err == nil {
			_, err = end.Write([]byte{1})
			end.Close()
		}
		accepted <- err
	}()
	end, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		listener.Close()
		<-accepted
		return false
	}
	defer end.Close()
	_, err = end.Read(make([]byte, 1))
	return <-accepted == nil && err == nil
}

func TestOnlyDaemonsOfAcceptedAuthoritiesConnect(t *testing.T) {
	ours, theirs := testkeys.NewAuthority(t, start), testkeys.NewAuthority(t, start)
	clock := testclock.NewFakePassiveClock(start)
	open := func(settings Settings) *Store {
		store, err := New(settings, clock)
		if err != nil {
			t.Fatal(err)
		}
		return store
	}
	server := open(newSettings(t, ours, ours)).Server()
	expired := newSettings(t, ours, ours)
	ours.Issue(t, testkeys.Files(expired), "entry-1", start.Add(-time.Minute))
	for _, test := range []struct {
		name   string
		client *tls.Config
		want   bool
	}{
		{"daemon of the same authority", open(newSettings(t, ours, ours)).Client(), true},
		{"daemon of another authority", open(newSettings(t, theirs, ours)).Client(), false},
		{"daemon that does not accept the server", open(newSettings(t, ours, theirs)).Client(), false},
		{"daemon with an expired certificate", open(expired).Client(), false},
		{"client without a certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"client of an older TLS", &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := connects(server, test.client); got != test.want {
				t.Errorf("connects is %t, want %t", got, test.want)
			}
		})
	}
}

func TestRotationWithoutARestart(t *testing.T) {
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
	serverConfig, clientConfig := server.Server(), client.Client()
	step := func(name string, change func()) {
		change()
		for _, settings := range []Settings{serverFiles, clientFiles} {
			touch(t, settings, clock.Now())
		}
		clock.SetTime(clock.Now().Add(lookEvery))
		if !connects(serverConfig, clientConfig) {
			t.Errorf("no connection after: %s", name)
		}
	}
	step("both authorities accepted by the server", func() { testkeys.Files(serverFiles).Trust(t, old, next) })
	step("both authorities accepted by the client", func() { testkeys.Files(clientFiles).Trust(t, old, next) })
	step("new certificate of the client", func() { next.Issue(t, testkeys.Files(clientFiles), "entry-1", start.Add(2*time.Hour)) })
	step("new certificate of the server", func() { next.Issue(t, testkeys.Files(serverFiles), "entry-1", start.Add(2*time.Hour)) })
	step("old authority removed", func() { testkeys.Files(serverFiles).Trust(t, next); testkeys.Files(clientFiles).Trust(t, next) })
	step("damaged certificate, the former one stays", func() {
		if err := os.WriteFile(clientFiles.CertificateFile, []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	straggler, err := New(newSettings(t, old, old, next), clock)
	if err != nil {
		t.Fatal(err)
	}
	if connects(serverConfig, straggler.Client()) {
		t.Error("a certificate of the removed authority is still accepted")
	}
}

// touch gives the files a change time that differs at each step, whatever the resolution of the disk.
func touch(t *testing.T, settings Settings, at time.Time) {
	t.Helper()
	for _, path := range []string{settings.CertificateFile, settings.KeyFile, settings.AuthorityFile} {
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNewRefusesUnusableFiles(t *testing.T) {
	ours := testkeys.NewAuthority(t, start)
	for _, name := range []string{"certificate", "key", "authorities"} {
		settings := newSettings(t, ours, ours)
		if err := os.WriteFile(filepath.Join(filepath.Dir(settings.KeyFile), name), []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := New(settings, testclock.NewFakePassiveClock(start)); err == nil {
			t.Errorf("a damaged %s was taken", name)
		}
	}
}
