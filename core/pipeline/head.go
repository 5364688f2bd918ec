package pipeline

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// HeadError reports a header section that is not accepted, because it is invalid or because two parsers could read it differently.
type HeadError struct {
	// Status is the status of the response, after which the connection closes.
	Status  int
	Problem string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("header section rejected: %s: correct the request and send it on a new connection", e.Problem)
}

func badHead(problem string) error {
	return &HeadError{
		Status:  http.StatusBadRequest,
		Problem: problem,
	}
}

// CheckHead checks a header section, from the request line to the empty line. It is stricter than http.ReadRequest. Its errors are of
// type *HeadError.
func CheckHead(head []byte) error {
	if !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		return badHead("no empty line at the end")
	}
	line, rest := cutLine(head)
	minor, authority, err := checkRequestLine(line)
	if err != nil {
		return err
	}
	seen := fields{
		authority: authority,
	}
	for {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		if err := seen.add(line); err != nil {
			return err
		}
	}
	if len(rest) > 0 {
		return badHead("empty line within")
	}
	return seen.check(minor)
}

// cutLine returns the text up to the next line feed without the carriage return. A line that does not end with both keeps its line
// feed, which no check accepts.
func cutLine(text []byte) (line, rest []byte) {
	i := bytes.IndexByte(text, '\n')
	if i < 1 || text[i-1] != '\r' {
		return text[:i+1], text[i+1:]
	}
	return text[:i-1], text[i+1:]
}

// checkRequestLine returns the minor version, and the authority that the target names, empty for none.
func checkRequestLine(line []byte) (minor byte, authority string, err error) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, found := bytes.Cut(rest, []byte(" "))
	switch {
	case !found || !IsToken(method):
		return 0, "", badHead("malformed request line")
	case len(target) == 0 || bytes.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return 0, "", badHead("malformed target")
	}
	if target[0] != '/' && string(target) != "*" {
		full, isFull := bytes.CutPrefix(target, []byte("http://"))
		name, _, _ := bytes.Cut(full, []byte("/"))
		if !isFull || len(name) == 0 || !isHost(name) {
			return 0, "", badHead("target is not a path")
		}
		authority = string(name)
	}
	switch {
	case string(version) == "HTTP/1.1":
		return 1, authority, nil
	case string(version) == "HTTP/1.0":
		return 0, authority, nil
	case len(version) == len("HTTP/1.1") && bytes.HasPrefix(version, []byte("HTTP/")) && version[6] == '.' && isDigits(version[5:6]) && isDigits(version[7:]):
		return 0, "", &HeadError{
			Status:  http.StatusHTTPVersionNotSupported,
			Problem: "unsupported version",
		}
	}
	return 0, "", badHead("malformed version")
}

// fields holds what matters of the header fields seen so far.
type fields struct {
	// authority is that of the target, which Host must repeat.
	authority                               string
	hosts, lengths, encodings, expectations int
}

func (f *fields) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !IsToken(name) {
		return badHead("malformed or folded header field") // A folded line begins with white space.
	}
	for _, b := range value {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return badHead("control character in a header field")
		}
	}
	value = bytes.Trim(value, " \t")
	switch {
	case len(name) == 4 && strings.EqualFold(string(name), "Host"):
		f.hosts++
		if !isHost(value) || (f.authority != "" && f.authority != string(value)) {
			return badHead("malformed Host")
		}
	case len(name) == 14 && strings.EqualFold(string(name), "Content-Length"):
		f.lengths++
		if !isDigits(value) || len(value) > 18 {
			return badHead("malformed Content-Length")
		}
	case len(name) == 17 && strings.EqualFold(string(name), "Transfer-Encoding"):
		f.encodings++
		if !strings.EqualFold(string(value), "chunked") {
			return badHead("unsupported Transfer-Encoding")
		}
	case len(name) == 6 && strings.EqualFold(string(name), "Expect"):
		f.expectations++
		if !strings.EqualFold(string(value), "100-continue") {
			return &HeadError{
				Status:  http.StatusExpectationFailed,
				Problem: "unsupported Expect",
			}
		}
	}
	return nil
}

func (f *fields) check(minor byte) error {
	switch {
	case f.hosts > 1 || (f.hosts == 0 && minor == 1):
		return badHead("not exactly one Host")
	case f.lengths > 1:
		return badHead("more than one Content-Length")
	case f.encodings > 1:
		return badHead("more than one Transfer-Encoding")
	case f.lengths > 0 && f.encodings > 0:
		return badHead("both Content-Length and Transfer-Encoding")
	case f.encodings > 0 && minor == 0:
		return badHead("Transfer-Encoding in HTTP/1.0")
	case f.expectations > 1:
		return badHead("more than one Expect")
	}
	return nil
}

func isDigits(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

// IsToken reports whether text is a token of HTTP, as methods and the names of fields are.
func IsToken(text []byte) bool {
	for _, b := range text {
		if !isLetterOrDigit(b) && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

func isLetterOrDigit(b byte) bool {
	return (b|0x20 >= 'a' && b|0x20 <= 'z') || (b >= '0' && b <= '9')
}

// isHost reports whether text consists of the characters of a host with an optional port.
func isHost(text []byte) bool {
	for _, b := range text {
		if !isLetterOrDigit(b) && strings.IndexByte("-._~%!$&'()*+,;=:[]", b) < 0 {
			return false
		}
	}
	return true
}

// CheckTrailer checks one line of the trailer section of a chunked body, given with its line end. last is true for the empty line.
func CheckTrailer(line []byte) (last bool, err error) {
	field, _ := cutLine(line)
	if len(field) == 0 {
		return true, nil
	}
	var seen fields
	if err := seen.add(field); err != nil {
		return false, err
	}
	if seen != (fields{}) {
		return false, badHead("framing field in a trailer")
	}
	return false, nil
}
