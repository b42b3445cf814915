// Package credential configures mutual TLS 1.3 authentication between daemons.
//
// Each daemon has a certificate and a key, and a file of authorities whose
// certificates it accepts. The files are reloaded when they change, so that
// certificates and authorities can be rotated without a restart: first add the
// new authority on every daemon, then replace the certificates, then remove the
// old authority. New connections use the reloaded files; open connections are
// not affected.
package credential
