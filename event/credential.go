package event

// The events of credentials between daemons.
var (
	CredentialsRead     = define(560, "CredentialsRead", Info, "Changed certificates or authorities are in use for new connections.")
	CredentialsUnusable = define(561, "CredentialsUnusable", Error, "Changed certificates or authorities cannot be used; the former ones stay in use.")
)
