package strictyaml

import "strings"

// Error is the list of problems of one file. It is never empty.
type Error struct {
	// File is the name of the file.
	File string
	// Problems are ordered by line.
	Problems []Problem
}

// Error returns one line for each problem, each with the file name.
func (failure *Error) Error() string {
	lines := make([]string, len(failure.Problems))
	for i, problem := range failure.Problems {
		lines[i] = failure.File + ": " + problem.String()
	}
	return strings.Join(lines, "\n")
}

// NewError returns the problems in order of lines as an *Error, or nil if there are none.
func NewError(file string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	Sort(problems)
	return &Error{File: file, Problems: problems}
}
