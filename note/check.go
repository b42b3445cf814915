package note

import (
	"fmt"
	"regexp"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// maxSummaryBytes is the largest length of a summary in bytes.
const maxSummaryBytes = 500

// namePattern matches valid names and versions. Colons and at signs are excluded since they separate names in other
// formats.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/+-]{0,126}$`)

// identifierPattern matches valid identifiers of notes.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check returns the problems of the note with respect to the catalogue in force and the capacity, in order of lines.
// It does not compare Base: a note on a stale base fails with a conflict when it is accepted. The cost depends on the
// size of the note only.
func (note Note) Check(inForce catalogue.Catalogue, capacity Capacity) []Problem {
	checker := &checker{
		note:      note,
		inForce:   inForce,
		capacity:  capacity,
		firstKeys: map[catalogue.EntryName]string{},
		models:    map[string]catalogue.Model{},
		withdrawn: map[catalogue.EntryName]bool{},
	}
	checker.checkHeader()
	checker.checkModels()
	checker.checkAdapters()
	checker.checkServices()
	checker.checkWithdrawnModels()
	strictyaml.Sort(checker.problems)
	return checker.problems
}

// checker collects the problems of one note.
type checker struct {
	note     Note
	inForce  catalogue.Catalogue
	capacity Capacity
	// firstKeys maps each entry to the key under which the note lists it first.
	firstKeys map[catalogue.EntryName]string
	// models are the added and changed models of the note by name.
	models map[string]catalogue.Model
	// withdrawn are the entries that the note withdraws.
	withdrawn map[catalogue.EntryName]bool
	problems  []Problem
}

// addProblem records a problem at the line of the key.
func (checker *checker) addProblem(key, format string, args ...any) {
	checker.problems = append(checker.problems, checker.note.lines.Problem(key, fmt.Sprintf(format, args...)))
}

// checkHeader checks the identifier and the summary, and that the note changes something.
func (checker *checker) checkHeader() {
	if !identifierPattern.MatchString(checker.note.Note) {
		checker.addProblem("Note", "%q is not an identifier; allowed are 1 to 63 letters, digits, dots, dashes and underscores", checker.note.Note)
	}
	if checker.note.Summary == "" || len(checker.note.Summary) > maxSummaryBytes {
		checker.addProblem("Summary", "must describe the purpose of the note in 1 to %d bytes", maxSummaryBytes)
	}
	change := checker.note.Change()
	if change.Len() == 0 {
		checker.addProblem("", "the note changes nothing")
	}
}

// checkUnique adds a problem if the note lists the entry twice.
func (checker *checker) checkUnique(key string, entry catalogue.EntryName) {
	firstKey, ok := checker.firstKeys[entry]
	if ok {
		checker.addProblem(key, "%s is already listed on line %d", entry, checker.note.lines.Lookup(firstKey))
		return
	}
	checker.firstKeys[entry] = key
}

// checkPresence adds a problem if the entry is in force and must not be, or the reverse.
func (checker *checker) checkPresence(key string, entry catalogue.EntryName, found, mustExist bool) {
	switch {
	case found && !mustExist:
		checker.addProblem(key, "%s is in force already; list it under Changed", entry)
	case !found && mustExist && checker.inForce.Withdrawn(entry):
		checker.addProblem(key, "%s was withdrawn before", entry)
	case !found && mustExist:
		checker.addProblem(key, "%s is not in force", entry)
	}
}

// checkName adds a problem if the name or version is invalid.
func (checker *checker) checkName(key, name string) {
	if !namePattern.MatchString(name) {
		checker.addProblem(key, "%q is not a name; allowed are 1 to 127 letters, digits, dots, dashes, underscores, slashes and plus signs", name)
	}
}
