package config

import (
	"fmt"
	"strings"
)

// Error is one error in a file.
type Error struct {
	File   string
	Line   int // from 1; 0 if the position is not known
	Column int // from 1
	Field  string
	Reason string
}

// Error returns file:line:column: field: reason.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Field == "" {
		return position + ": " + e.Reason
	}
	return position + ": " + e.Field + ": " + e.Reason
}

// Errors are all errors in a file, in the order of its lines.
type Errors []*Error

// Error returns the errors one a line.
func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// joinedErrors returns the errors of errors.Join, or the error itself.
func joinedErrors(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
