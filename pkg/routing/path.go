package routing

import (
	"net/url"
	"strings"
)

// Path is the path of a request target, as it is compared with the prefixes of routes.
type Path struct {
	text        string
	isAmbiguous bool
}

// ParsePath returns the path of a request target in origin form, such as "/a/b%20c?d".
// Escapes are decoded in each segment by itself, so that an encoded slash separates
// nothing: a segment that has one stays as it is.
func ParsePath(target string) Path {
	raw, _, _ := strings.Cut(target, "?")
	if !strings.ContainsAny(raw, `%\`) && !strings.Contains(raw, "//") && !strings.Contains(raw, "/.") {
		return Path{text: raw}
	}
	segments := strings.Split(raw, "/")
	isAmbiguous := false
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err == nil && !strings.Contains(decoded, "/") {
			segments[i] = decoded
		}
		isEmpty := decoded == "" && i > 0 && i < len(segments)-1
		if err != nil || isEmpty || decoded == "." || decoded == ".." || strings.ContainsAny(decoded, `/\%`) {
			isAmbiguous = true
		}
	}
	return Path{text: strings.Join(segments, "/"), isAmbiguous: isAmbiguous}
}

// IsAmbiguous reports whether a backend server may read the path as another one, which
// may belong to another route: it has a slash, a backslash or a percent sign that was
// encoded, an invalid escape, a dot segment or an empty segment.
func (p Path) IsAmbiguous() bool { return p.isAmbiguous }

// String returns the path with its escapes decoded, except for encoded slashes.
func (p Path) String() string { return p.text }
