package credential

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// files are the contents of the three files at one time. They are immutable.
type files struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// changed is the newest change time of the files.
	changed time.Time
}

func read(settings Settings) (*files, error) {
	changed, err := settings.changed()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "certificate or key")
	}
	content, err := os.ReadFile(settings.AuthorityFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content) {
		return nil, trace.BadParameter("%s holds no certificate", settings.AuthorityFile)
	}
	return &files{certificate: &certificate, authorities: authorities, changed: changed}, nil
}

// changed returns the newest change time of the files.
func (settings Settings) changed() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{settings.CertificateFile, settings.KeyFile, settings.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}, trace.Wrap(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
