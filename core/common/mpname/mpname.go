// Package mpname validates names and hashes keys and tokens.
package mpname

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Allowed describes the names that IsValid accepts, for error messages.
const Allowed = "1 to 63 of a-z, 0-9, dot, hyphen, underscore"

var pattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// IsValid reports whether name is a valid name of a row, a VM or an operator.
func IsValid(name string) bool { return pattern.MatchString(name) }

// Hash returns the SHA-256 of key in hex, the form in which keys and tokens are stored.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// IsHash reports whether text has the form of a result of Hash.
func IsHash(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256.Size
}
