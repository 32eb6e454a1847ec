// Package config reads the settings of a node and decodes JSON with comments.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
)

// Decode parses JSON with comments into v. It refuses unknown fields, wrong types
// and data after the document; the error gives the file and, where known, the
// line and the field.
func Decode(file string, data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return fault.Wrap(err, fault.KindInvalid, file+": not valid JSON with comments", "correct the syntax at the line named")
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return describeDecodeError(file, standard, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.KindInvalid, fmt.Sprintf("%s:%d: data after the end of the document", file, lineAt(standard, dec.InputOffset())), "keep one document in the file")
	}
	return nil
}

func describeDecodeError(file string, data []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		message := fmt.Sprintf("%s:%d: field %q cannot hold a %s", file, lineAt(data, typeErr.Offset), typeErr.Field, typeErr.Value)
		return fault.New(fault.KindInvalid, message, "write a value of type "+typeErr.Type.String())
	}
	if field, ok := unknownField(err); ok {
		line := lineAt(data, offset)
		if i := bytes.Index(data, []byte(field)); i >= 0 {
			line = lineAt(data, int64(i))
		}
		return fault.New(fault.KindInvalid, fmt.Sprintf("%s:%d: unknown field %s", file, line, field), "remove it or correct its spelling; docs/SETTINGS.md and docs/BUNDLES.md list the fields")
	}
	return fault.Wrap(err, fault.KindInvalid, fmt.Sprintf("%s:%d: cannot be read", file, lineAt(data, offset)), "correct the value at the line named")
}

func unknownField(err error) (string, bool) {
	const prefix = "json: unknown field "
	message := err.Error()
	i := strings.Index(message, prefix)
	if i < 0 {
		return "", false
	}
	return message[i+len(prefix):], true
}

func lineAt(data []byte, offset int64) int {
	if offset > int64(len(data)) {
		offset = int64(len(data))
	}
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
