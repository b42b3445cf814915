package event

// Events of release notes.
var (
	NoteInForce        = define(200, "NoteInForce", Info, "The daemon applied a newer number in force.")
	FollowFailed       = define(201, "FollowFailed", Warning, "The number in force cannot be read from the platform; the daemon continues with the last one.")
	FollowRecovered    = define(202, "FollowRecovered", Info, "The number in force can be read from the platform again.")
	NoteDamaged        = define(203, "NoteDamaged", Error, "A release note or snapshot in the object store is missing or differs from its hash.")
	PlatformBehind     = define(204, "PlatformBehind", Error, "The platform has a lower number in force than the daemon; the daemon keeps its own.")
	PeerUpdateRefused  = define(205, "PeerUpdateRefused", Warning, "An update of the notes in force could not be fetched from a peer, or cannot be applied to the number in force.")
	NoteAccepted       = define(206, "NoteAccepted", Info, "A release note was accepted.")
	NoteAnswerRepeated = define(207, "NoteAnswerRepeated", Info, "A release note was applied again that had already been accepted.")
)
