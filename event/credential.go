package event

// Events of the credentials that daemons use with each other.
var (
	CredentialsRead     = define(560, "CredentialsRead", Info, "New certificates or authorities were read and are used for new connections.")
	CredentialsUnusable = define(561, "CredentialsUnusable", Error, "The changed certificates or authorities cannot be used; the previous ones remain in use.")
)
