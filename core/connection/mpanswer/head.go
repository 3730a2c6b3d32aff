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
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
	statusDigits       = 3
	versionPrefix      = "HTTP/1."
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

// checkHead returns the status of a complete head, or an error that wraps ErrMalformed.
func checkHead(head []byte) (status int, err error) {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	return parseStatusLine(string(bytes.TrimSuffix(line, []byte("\r"))))
}

// parseStatusLine returns the status of a status line.
func parseStatusLine(line string) (status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	minor, isOne := strings.CutPrefix(version, versionPrefix)
	if !isOne || !isDigits(minor) || len(minor) != 1 {
		return 0, mperror.Wrap(ErrMalformed, "version %q", version)
	}
	if len(digits) != statusDigits || !isDigits(digits) {
		return 0, mperror.Wrap(ErrMalformed, "status %q", digits)
	}
	for _, d := range digits {
		status = 10*status + int(d-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, mperror.Wrap(ErrMalformed, "status %s", digits)
	}
	if status == switchingProtocols {
		return 0, mperror.Wrap(ErrMalformed, "status %s without a request for another protocol", digits)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return 0, mperror.Wrap(ErrMalformed, "reason phrase %q", reason)
	}
	return status, nil
}

func isDigits(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }
