package gate

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/wire"
)

// Range of the status codes of final responses. net/http panics on codes below 100, sends 100 to 199 as informational
// responses without a final one, and passes codes above 599, which HTTP does not define.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckStatus returns an error if status is not that of a final response.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return errors.Newf("status %d", status)
	}
	return nil
}

// CheckResponse returns an error if net/http would panic on the head of a response to a request with the given method, or
// would send it with other fields or with a wrong length. The head comes from a backend server or from another node.
func CheckResponse(method string, head *wire.ResponseHead) error {
	if err := CheckStatus(int(head.GetStatus())); err != nil {
		return err
	}
	lengths := 0
	for _, h := range head.Headers {
		if err := checkField(h); err != nil {
			return err
		}
		if isHopByHop(h.Name) {
			return errors.Newf("header %s", h.Name)
		}
		if h.Name == "Content-Length" {
			lengths++
			if err := checkContentLength(method, head, h.All()); err != nil {
				return err
			}
		}
	}
	if lengths > 1 || head.ContentLength < -1 {
		return errors.Newf("%d headers Content-Length, length %d", lengths, head.ContentLength)
	}
	return nil
}

// checkContentLength checks the values of a Content-Length header. Those of a 304 and of a response to HEAD describe a body
// that is not sent, and net/http does not send the header with a 204.
func checkContentLength(method string, head *wire.ResponseHead, values []string) error {
	if len(values) != 1 {
		return errors.Newf("%d values of Content-Length", len(values))
	}
	length, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return errors.Newf("Content-Length %q", values[0])
	}
	hasBody := method != http.MethodHead && head.Status != http.StatusNoContent && head.Status != http.StatusNotModified
	if hasBody && int64(length) != head.ContentLength {
		return errors.Newf("Content-Length %d for a body of %d bytes", length, head.ContentLength)
	}
	return nil
}

// CheckTrailers returns the trailers of a response without those that HTTP forbids because they would change how the
// response is read. It returns an error if net/http would send one with another name or value.
func CheckTrailers(trailers []*wire.Header) ([]*wire.Header, error) {
	var checked []*wire.Header
	for _, t := range trailers {
		if err := checkField(t); err != nil {
			return nil, err
		}
		if !isForbiddenTrailer(t.Name) {
			checked = append(checked, t)
		}
	}
	return checked, nil
}

// isForbiddenTrailer reports whether a field, in its canonical form, is one for framing, routing, authentication, control
// data or the content format, which RFC 9110 excludes from trailers.
func isForbiddenTrailer(name string) bool {
	switch name {
	case "Content-Length", "Content-Encoding", "Content-Type", "Content-Range", "Host", "Authorization", "Www-Authenticate",
		"Set-Cookie", "Cookie", "Cache-Control", "Pragma", "Max-Forwards", "Expect", "Range", "Age", "Date", "Expires", "Location",
		"Retry-After", "Vary", "Warning":
		return true
	}
	return isHopByHop(name)
}

// checkField returns an error if net/http drops the name of a field or replaces characters of its values.
func checkField(h *wire.Header) error {
	if h.Name == "" || http.CanonicalHeaderKey(h.Name) != h.Name {
		return errors.Newf("field name %q", h.Name)
	}
	for i := range len(h.Name) {
		if !isTokenByte(h.Name[i]) {
			return errors.Newf("field name %q", h.Name)
		}
	}
	for _, value := range h.All() {
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == '\x7f' {
				return errors.Newf("control character in field %s", h.Name)
			}
		}
	}
	return nil
}

// isTokenByte reports whether c may be in a field name.
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
