package credential

// Settings names the files of a Store, all in PEM form.
type Settings struct {
	// CertificateFile holds the certificate of this daemon, followed by the intermediate certificates of its chain.
	CertificateFile string
	// KeyFile holds the private key of the certificate.
	KeyFile string
	// AuthorityFile holds the certificates of the accepted authorities.
	AuthorityFile string
}
