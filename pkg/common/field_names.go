package common

import (
	"errors"
	"strings"
)

// ErrInvalidFieldName marks a head of HTTP with a blank or a control byte in the name of a field.
var ErrInvalidFieldName = errors.New("a blank or a control byte in the name of a field")

// CheckFieldNames returns ErrInvalidFieldName if a name holds a blank or a control byte. The
// reader of net/http keeps blanks in names.
func CheckFieldNames(fields map[string][]string) error {
	for name := range fields {
		if strings.ContainsFunc(name, func(r rune) bool { return !IsVisible(r) }) {
			return ErrInvalidFieldName
		}
	}
	return nil
}

// IsFieldValue reports whether a value of a field has no control bytes but tabs. Others may
// end its line, so that what follows becomes a field of its own.
func IsFieldValue(value string) bool {
	const del = 0x7f
	for _, b := range []byte(value) {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}

// IsVisible reports whether r is neither a blank nor a control byte.
func IsVisible(r rune) bool {
	const del = 0x7f
	return r > ' ' && r != del
}
