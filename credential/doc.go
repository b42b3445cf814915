// Package credential authenticates daemons to each other by TLS 1.3.
//
// Each daemon has a certificate and a key, and a file of authorities whose
// certificates it accepts. The files are read again when they change, so that
// certificates and authorities are rotated without a restart: first add the new
// authority everywhere, then replace the certificates, then remove the old
// authority. New connections use the newest files; open ones go on.
package credential
