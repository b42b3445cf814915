// Package testkeys makes authorities and certificates for tests.
package testkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const (
	// before is the time by which certificates are valid earlier than they are made.
	before = time.Hour
	// authorityTerm is the time for which an authority is valid.
	authorityTerm = 24 * time.Hour
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority that is valid from an hour before the time for a day.
func NewAuthority(t testing.TB, now time.Time) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: now.Add(-before), NotAfter: now.Add(authorityTerm),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return &Authority{certificate: sign(t, template, template, key, key), key: key}
}

// Issue writes a certificate of the name that is valid until the time, and its key, into the files.
func (authority *Authority) Issue(t testing.TB, files Files, name string, until time.Time) {
	t.Helper()
	key := newKey(t)
	certificate := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: authority.certificate.NotBefore, NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, authority.certificate, key, authority.key)
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.CertificateFile, "CERTIFICATE", certificate.Raw)
	write(t, files.KeyFile, "EC PRIVATE KEY", encoded)
}

// Files names the files of one daemon.
type Files struct {
	// CertificateFile, KeyFile and AuthorityFile are in PEM form.
	CertificateFile, KeyFile, AuthorityFile string
}

// NewFiles returns names in a folder that is removed after the test.
func NewFiles(t testing.TB) Files {
	t.Helper()
	folder := t.TempDir()
	return Files{
		CertificateFile: filepath.Join(folder, "certificate"),
		KeyFile:         filepath.Join(folder, "key"),
		AuthorityFile:   filepath.Join(folder, "authorities"),
	}
}

// Trust writes the authorities that are accepted.
func (files Files) Trust(t testing.TB, accepted ...*Authority) {
	t.Helper()
	var contents [][]byte
	for _, one := range accepted {
		contents = append(contents, one.certificate.Raw)
	}
	write(t, files.AuthorityFile, "CERTIFICATE", contents...)
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t testing.TB, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	content, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	made, err := x509.ParseCertificate(content)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func write(t testing.TB, path, kind string, contents ...[]byte) {
	t.Helper()
	var encoded []byte
	for _, content := range contents {
		encoded = append(encoded, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})...)
	}
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
}
