package credential

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// credentials holds the parsed content of the three files as read at one time. It is immutable.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// modified is the latest modification time of the three files.
	modified time.Time
}

// load reads and parses the three files.
func load(settings Settings) (*credentials, error) {
	modified, err := settings.modified()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "loading certificate and key")
	}
	content, err := os.ReadFile(settings.AuthorityFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content) {
		return nil, trace.BadParameter("%s contains no certificate in PEM form", settings.AuthorityFile)
	}
	return &credentials{certificate: &certificate, authorities: authorities, modified: modified}, nil
}

// modified returns the latest modification time of the three files.
func (settings Settings) modified() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{settings.CertificateFile, settings.KeyFile, settings.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}, trace.Wrap(err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
