package backend

import (
	"fmt"
	"strings"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// errInvalidFieldName marks a head in which http.ReadResponse would take a line for one of
// another field, or for the rest of the line before.
var errInvalidFieldName = fmt.Errorf("%w: %w", ErrInvalidHead, common.ErrInvalidFieldName)

const codingName = "Transfer-Encoding"

// headScanner follows the bytes of the head of an answer and checks the names of its fields.
type headScanner struct {
	// ended is set behind the empty line.
	ended bool
	// inName is set from the start of a line to its colon, except in the status line. name
	// holds the first bytes of the name, which has nameBytes so far.
	inName    bool
	name      [len(codingName)]byte
	nameBytes int
	// hasCoding is set behind the name of a transfer coding, which http.ReadResponse drops
	// from a head of HTTP/1.0.
	hasCoding bool
}

// scan takes the next bytes. What follows the head is ignored.
func (h *headScanner) scan(p []byte) error {
	for _, b := range p {
		switch {
		case h.ended:
			return nil
		case b == '\n':
			h.endLine()
		case !h.inName, b == '\r' && h.nameBytes == 0:
		case b == ':':
			h.endName()
		case !common.IsVisible(rune(b)):
			return errInvalidFieldName
		default:
			if h.nameBytes < len(h.name) {
				h.name[h.nameBytes] = b
			}
			h.nameBytes++
		}
	}
	return nil
}

func (h *headScanner) endName() {
	h.inName = false
	if h.nameBytes == len(h.name) && strings.EqualFold(string(h.name[:]), codingName) {
		h.hasCoding = true
	}
}

func (h *headScanner) endLine() {
	h.ended = h.inName && h.nameBytes == 0
	h.inName, h.nameBytes = true, 0
}
