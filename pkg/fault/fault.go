// Package fault defines the typed errors of hibiscusrock. Every error names
// its kind, which programs test, and a remedy, which people read.
package fault

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Kind classifies an error.
type Kind string

// The kinds of error that callers of the library can test for.
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
	KindTakenBack   Kind = "taken_back"
	KindInternal    Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	kind   Kind
	remedy string
	cause  error
}

// New returns an error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, remedy: remedy, cause: eris.New(message)}
}

// Wrap returns an error of the given kind that keeps err as its cause.
func Wrap(err error, kind Kind, message, remedy string) *Error {
	return &Error{kind: kind, remedy: remedy, cause: eris.Wrap(err, message)}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Remedy returns what the reader can do about the error.
func (e *Error) Remedy() string { return e.remedy }

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.remedy == "" {
		return e.cause.Error()
	}
	return e.cause.Error() + " (" + e.remedy + ")"
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err, or KindInternal when it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindInternal
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
