package note

import (
	"fmt"
	"regexp"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// maxSummaryBytes is the largest length of a summary in bytes.
const maxSummaryBytes = 500

// namePattern is what names and versions look like; colon and at sign separate names elsewhere.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/+-]{0,126}$`)

// identifierPattern is what identifiers of notes look like.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check returns what is wrong with the note against the catalogue in force and
// the capacity, in order of lines. It does not compare Base: a note on a stale
// base conflicts when it is accepted. The cost grows with the note only.
func (note Note) Check(inForce catalogue.Catalogue, capacity Capacity) []Problem {
	checker := &checker{
		note:     note,
		inForce:  inForce,
		capacity: capacity,
		firstKeys:    map[catalogue.EntryName]string{},
		models:   map[string]catalogue.Model{},
		withdrawn:     map[catalogue.EntryName]bool{},
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
	// firstKeys maps each entry to the key under which the note names it firstKeys.
	firstKeys map[catalogue.EntryName]string
	// models are the added and changed models of the note.
	models map[string]catalogue.Model
	// withdrawn are the entries that the note withdraws.
	withdrawn     map[catalogue.EntryName]bool
	problems []Problem
}

func (checker *checker) addProblem(key, format string, args ...any) {
	checker.problems = append(checker.problems, checker.note.lines.Problem(key, fmt.Sprintf(format, args...)))
}

func (checker *checker) checkHeader() {
	if !identifierPattern.MatchString(checker.note.Note) {
		checker.addProblem("Note", "%q is not an identifier; allowed are 1 to 63 letters, digits, dots, dashes and underscores", checker.note.Note)
	}
	if checker.note.Summary == "" || len(checker.note.Summary) > maxSummaryBytes {
		checker.addProblem("Summary", "must tell in 1 to %d bytes what the note is for", maxSummaryBytes)
	}
	change := checker.note.Change()
	if change.Len() == 0 {
		checker.addProblem("", "the note changes nothing")
	}
}

// checkUnique refuses an entry that the note names twice.
func (checker *checker) checkUnique(key string, entry catalogue.EntryName) {
	other, ok := checker.firstKeys[entry]
	if ok {
		checker.addProblem(key, "%s stands already on line %d", entry, checker.note.lines.Of(other))
		return
	}
	checker.firstKeys[entry] = key
}

// checkPresence refuses an entry that should or should not be in force.
func (checker *checker) checkPresence(key string, entry catalogue.EntryName, found, wanted bool) {
	switch {
	case found && !wanted:
		checker.addProblem(key, "%s is in force already; list it under Changed", entry)
	case !found && wanted && checker.inForce.Withdrawn(entry):
		checker.addProblem(key, "%s was withdrawn before", entry)
	case !found && wanted:
		checker.addProblem(key, "%s is not in force", entry)
	}
}

func (checker *checker) checkName(key, name string) {
	if !namePattern.MatchString(name) {
		checker.addProblem(key, "%q is not a name; allowed are 1 to 127 letters, digits, dots, dashes, underscores, slashes and plus signs", name)
	}
}
