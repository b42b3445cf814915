package credential

// Settings names the files of a Store, all in PEM form.
type Settings struct {
	// CertificateFile holds the certificate of this daemon, followed by those between it and its authority.
	CertificateFile string
	// KeyFile holds its private key.
	KeyFile string
	// AuthorityFile holds the certificates of the authorities that are accepted.
	AuthorityFile string
}
