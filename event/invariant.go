package event

// InvariantBroken is the event of a broken invariant.
var InvariantBroken = define(900, "InvariantBroken", Error, "An invariant of the program does not hold; the fields tell which.")
