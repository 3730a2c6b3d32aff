// Package mpid generates and formats IDs.
package mpid

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

const idBytes = 12

// New returns a random ID for a change or an order.
func New() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Hex formats n as 16 hex digits, the form of IDs and hashes in output.
func Hex(n uint64) string { return fmt.Sprintf("%016x", n) }
