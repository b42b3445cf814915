package peer

// Member is a daemon that can be called.
type Member struct {
	// Name is the name of its VM.
	Name string
	// Address is its IP address and port for other daemons.
	Address string
	// DataCentre is the name of its data centre, empty if unknown.
	DataCentre string
}

// Members lists the daemons in the settings and the VM list. It is called in every round and must not block.
type Members interface {
	Members() []Member
}

// MembersFunc is a function that implements Members.
type MembersFunc func() []Member

// Members calls the function.
func (members MembersFunc) Members() []Member {
	return members()
}
