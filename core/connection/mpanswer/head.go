package mpanswer

import (
	"bytes"
	"strings"

	"golang.org/x/net/http/httpguts"

	"mustardpost.org/core/common/mperror"
)

const (
	minStatus = 100
	// minFinalStatus is the lowest status of an answer that is not interim.
	minFinalStatus          = 200
	maxStatus               = 599
	switchingProtocols      = 101
	statusDigits            = 3
	headerTransferEncoding  = "Transfer-Encoding"
	headerContentLength     = "Content-Length"
	versionPrefix           = "HTTP/1."
	versionOneZero          = "HTTP/1.0"
	chunkedTransferEncoding = "chunked"
)

// headEnd returns the length of the head that data begins with, up to and with the empty line, or 0 if it is not
// complete. The first seen bytes were searched before.
func headEnd(data []byte, seen int) int {
	if len(data) > 0 && data[0] == '\n' || bytes.HasPrefix(data, []byte("\r\n")) {
		return bytes.IndexByte(data, '\n') + 1
	}
	for i := max(seen-len("\n\r\n")+1, 0); i < len(data); i++ {
		if data[i] != '\n' {
			continue
		}
		rest := data[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + len("\n\n")
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + len("\n\r\n")
		}
	}
	return 0
}

// checkHead returns the status of a complete head, or an error that wraps ErrMalformed. It follows RFC 9112, and is
// strict where that leaves a choice to the recipient, except that it takes a line feed for the end of a line, and
// a folded line for one with a space (sections 2.2 and 5.2).
func checkHead(head []byte) (status int, err error) {
	lines := bytes.Split(bytes.TrimSuffix(head, []byte("\n")), []byte("\n"))
	for i := range lines {
		lines[i] = bytes.TrimSuffix(lines[i], []byte("\r"))
	}
	version, status, err := parseStatusLine(string(lines[0]))
	if err != nil {
		return 0, err
	}
	fields, err := parseFields(lines[1:])
	if err != nil {
		return 0, err
	}
	return status, checkFraming(version, fields)
}

// parseStatusLine returns the version and the status of a status line.
func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	minor, isOne := strings.CutPrefix(version, versionPrefix)
	if !isOne || !isDigits(minor) || len(minor) != 1 {
		return "", 0, mperror.Wrap(ErrMalformed, "version %q", version)
	}
	if len(digits) != statusDigits || !isDigits(digits) {
		return "", 0, mperror.Wrap(ErrMalformed, "status %q", digits)
	}
	for _, d := range digits {
		status = 10*status + int(d-'0')
	}
	if status < minStatus || status > maxStatus {
		return "", 0, mperror.Wrap(ErrMalformed, "status %s", digits)
	}
	if status == switchingProtocols {
		return "", 0, mperror.Wrap(ErrMalformed, "status %s without a request for another protocol", digits)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return "", 0, mperror.Wrap(ErrMalformed, "reason phrase %q", reason)
	}
	return version, status, nil
}

// framingFields are the values of the fields that delimit a body.
type framingFields struct{ lengths, encodings []string }

// parseFields checks the field lines of a head, up to the empty line.
func parseFields(lines [][]byte) (framingFields, error) {
	var out framingFields
	// last is the value that a folded line goes on with.
	var last *string
	for _, raw := range lines {
		line := string(raw)
		if line == "" {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			if last == nil || !httpguts.ValidHeaderFieldValue(line) {
				return out, mperror.Wrap(ErrMalformed, "folded line %q", line)
			}
			*last = trimBlanks(*last + " " + trimBlanks(line))
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return out, mperror.Wrap(ErrMalformed, "name of the field %q", line)
		}
		if !httpguts.ValidHeaderFieldValue(value) {
			return out, mperror.Wrap(ErrMalformed, "value of the field %q", name)
		}
		value = trimBlanks(value)
		switch {
		case strings.EqualFold(name, headerContentLength):
			out.lengths = append(out.lengths, value)
			last = &out.lengths[len(out.lengths)-1]
		case strings.EqualFold(name, headerTransferEncoding):
			out.encodings = append(out.encodings, value)
			last = &out.encodings[len(out.encodings)-1]
		default:
			last = &value
		}
	}
	return out, nil
}

// checkFraming checks that the fields delimit the body in one way only.
func checkFraming(version string, f framingFields) error {
	if len(f.encodings) > 0 {
		switch {
		case version == versionOneZero:
			return mperror.Wrap(ErrMalformed, "a transfer encoding in HTTP/1.0")
		case len(f.lengths) > 0:
			return mperror.Wrap(ErrMalformed, "a length beside a transfer encoding")
		case len(f.encodings) > 1 || !strings.EqualFold(f.encodings[0], chunkedTransferEncoding):
			return mperror.Wrap(ErrMalformed, "transfer encoding %q", f.encodings)
		}
	}
	length := ""
	for _, field := range f.lengths {
		for value := range strings.SplitSeq(field, ",") {
			value = trimBlanks(value)
			if !isDigits(value) || length != "" && value != length {
				return mperror.Wrap(ErrMalformed, "length %q", f.lengths)
			}
			length = value
		}
	}
	return nil
}

func trimBlanks(s string) string { return strings.Trim(s, " \t") }

func isDigits(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }
