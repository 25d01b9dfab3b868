package bound

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"
)

// maxStatus is the greatest status code (RFC 9110, section 15).
const maxStatus = 599

// ErrMalformedHead is wrapped by the error for a response head that no server may send. Nothing in such a head says anything about its request.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// headerBytes estimates the size of a head in bytes.
func headerBytes(header textproto.MIMEHeader) int {
	size := len("HTTP/1.1 100 Continue\r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// checkHead returns an error for a final response whose head is malformed, or that answers no request of the sender: nobody offered to switch
// protocols unless req did.
func checkHead(resp *http.Response, req *http.Request) error {
	if resp.ProtoMajor != 1 {
		return errors.Wrapf(ErrMalformedHead, "protocol %q", resp.Proto)
	}
	switches := resp.StatusCode == http.StatusSwitchingProtocols && req != nil && req.Header.Get("Upgrade") != ""
	if (resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus) && !switches {
		return errors.Wrapf(ErrMalformedHead, "status %03d", resp.StatusCode)
	}
	return checkNames(textproto.MIMEHeader(resp.Header))
}

// checkNames returns an error for a field name that is no token (RFC 9110, section 5.6.2). net/http accepts some with blanks, as names of unknown
// fields, so that a length or an encoding with such a name does not take effect.
func checkNames(header textproto.MIMEHeader) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isTokenChar(r) }) {
			return errors.Wrapf(ErrMalformedHead, "field name %q", name)
		}
	}
	return nil
}

func isTokenChar(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	default:
		return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
}

// isInformational reports whether another response follows one with the status.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// maxStatusLine is the part of a status line that a headScanner keeps.
const maxStatusLine = 32

// headScanner finds folded lines in the bytes of a response head, which net/http joins with the line before: a field whose name begins with a blank
// would change the value of another one (RFC 9112, section 5.2, has a proxy join or discard them). The zero value expects a status line.
type headScanner struct {
	statusLine []byte
	// inFields is true after the status line, lineBytes counts the bytes of the current line and blank is true if it has only a carriage return.
	inFields  bool
	lineBytes int
	blank     bool
	ended     bool
}

// scan reads the next bytes of a connection, up to the end of the head of the final response.
func (s *headScanner) scan(p []byte) error {
	for _, b := range p {
		switch {
		case s.ended:
			return nil
		case b == '\n':
			s.endLine()
			continue
		case s.inFields && s.lineBytes == 0 && (b == ' ' || b == '\t'):
			return errors.Wrap(ErrMalformedHead, "a folded line")
		case !s.inFields && len(s.statusLine) < maxStatusLine:
			s.statusLine = append(s.statusLine, b)
		}
		s.blank = s.lineBytes == 0 && b == '\r'
		s.lineBytes++
	}
	return nil
}

func (s *headScanner) endLine() {
	if s.inFields && (s.lineBytes == 0 || s.blank) {
		_, status, _ := strings.Cut(string(s.statusLine), " ")
		status = strings.TrimLeft(status, " ")
		if !strings.HasPrefix(status, "1") || strings.HasPrefix(status, "101") {
			s.ended = true
			return
		}
		*s = headScanner{} // Another head follows.
		return
	}
	s.inFields, s.lineBytes, s.blank = true, 0, false
}
