package peer

// Member is one daemon that can be called.
type Member struct {
	// Name is the name of its VM.
	Name string
	// Address is the IP address and port for other daemons.
	Address string
	// DataCentre is its data centre, empty if unknown.
	DataCentre string
}

// Members names the daemons of settings and VM list. It is called once each round and must not block.
type Members interface {
	Members() []Member
}

// MembersFunc makes Members of a function.
type MembersFunc func() []Member

// Members calls the function.
func (members MembersFunc) Members() []Member {
	return members()
}
