// Package fault defines the typed errors of hibiscusrock. An error has a kind, for
// which code can test, and a remedy, which is part of the message for people.
package fault

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Kind classifies an error.
type Kind string

// The kinds of errors. KindRolledBack is for a version that is rolled back; its value
// is visible outside the process and must not change.
const (
	KindInvalid     Kind = "invalid"
	KindConflict    Kind = "conflict"
	KindUnsigned    Kind = "unsigned"
	KindStale       Kind = "stale"
	KindMissing     Kind = "missing"
	KindUnavailable Kind = "unavailable"
	KindRefused     Kind = "refused"
	KindTooLarge    Kind = "too_large"
	KindTimeout     Kind = "timeout"
	KindRolledBack  Kind = "taken_back"
	KindInternal    Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	kind   Kind
	remedy string
	cause  error
}

// New returns an error of the given kind. The remedy may be empty.
func New(kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, remedy: remedy, cause: eris.New(message)}
}

// Wrap returns an error of the given kind that keeps err as its cause.
func Wrap(err error, kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, remedy: remedy, cause: eris.Wrap(err, message)}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Remedy returns what the reader can do about the error, or an empty string.
func (e *Error) Remedy() string { return e.remedy }

// Error returns the message followed by the remedy in parentheses.
func (e *Error) Error() string {
	if e.remedy == "" {
		return e.cause.Error()
	}
	return e.cause.Error() + " (" + e.remedy + ")"
}

func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in the chain of err, or KindInternal
// if there is none, also for nil.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindInternal
}

// Is reports whether err is not nil and of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
