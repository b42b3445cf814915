package event

// InvariantBroken is the event of a violated invariant.
var InvariantBroken = define(900, "InvariantBroken", Error, "An invariant of the program is violated; the fields state which.")
