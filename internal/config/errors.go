package config

import (
	"fmt"
	"strings"
)

// Error is an error in a file, with its position.
type Error struct {
	File   string
	Line   int    // counted from 1; 0 if the position is unknown
	Column int    // counted from 1
	Field  string // path of the field, such as clusters[0].name; empty if the error is about the whole file
	Reason string
}

// Error returns "file:line:column: field: reason", without the parts that are unknown.
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

// Errors holds all errors in a file, sorted by position.
type Errors []*Error

// Error returns the errors, one per line.
func (errs Errors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// joinedErrors returns the errors that errors.Join has joined, err alone if it is not joined, or nothing if it is nil.
func joinedErrors(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
