// Package testkeys generates certificate authorities and certificates for tests.
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
	// backdating is the time before their creation from which certificates are valid.
	backdating = time.Hour
	// authorityLifetime is the time after its creation until which an authority is valid.
	authorityLifetime = 24 * time.Hour
)

// Authority is a certificate authority that signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority that is valid from an hour before now until a day after it.
func NewAuthority(t testing.TB, now time.Time) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: now.Add(-backdating), NotAfter: now.Add(authorityLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return &Authority{certificate: sign(t, template, template, key, key), key: key}
}

// Issue writes a certificate for the DNS name that is valid until notAfter, and its key, into the files.
func (authority *Authority) Issue(t testing.TB, files Files, name string, notAfter time.Time) {
	t.Helper()
	key := newKey(t)
	certificate := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: authority.certificate.NotBefore, NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, authority.certificate, key, authority.key)
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.CertificateFile, "CERTIFICATE", certificate.Raw)
	write(t, files.KeyFile, "EC PRIVATE KEY", encoded)
}

// Files holds the paths of the key files of one daemon.
type Files struct {
	// CertificateFile, KeyFile and AuthorityFile are PEM files.
	CertificateFile, KeyFile, AuthorityFile string
}

// NewFiles returns paths in a directory that is removed after the test. The files do not exist yet.
func NewFiles(t testing.TB) Files {
	t.Helper()
	folder := t.TempDir()
	return Files{
		CertificateFile: filepath.Join(folder, "certificate"),
		KeyFile:         filepath.Join(folder, "key"),
		AuthorityFile:   filepath.Join(folder, "authorities"),
	}
}

// Trust replaces the content of the authority file by the certificates of the given authorities.
func (files Files) Trust(t testing.TB, authorities ...*Authority) {
	t.Helper()
	var contents [][]byte
	for _, authority := range authorities {
		contents = append(contents, authority.certificate.Raw)
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
	certificate, err := x509.ParseCertificate(content)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
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
