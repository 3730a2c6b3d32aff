// Package mpflate compresses messages that many VMs get.
package mpflate

import (
	"bytes"
	"compress/flate"
	"io"

	"mustardpost.org/core/common/mperror"
)

// Pack returns data in compressed form.
func Pack(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // cannot fail: the level is valid.
	}
	// Writes to a buffer cannot fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the data that Pack compressed. It returns an error that wraps ErrInvalid if packed is
// damaged or the data is longer than limit bytes.
func Unpack(packed []byte, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(limit)+1))
	if err != nil {
		return nil, mperror.Wrap(mperror.ErrInvalid, "unpack %d bytes: %v", len(packed), err)
	}
	if len(data) > limit {
		return nil, mperror.Wrap(mperror.ErrInvalid, "unpack %d bytes: more than %d bytes", len(packed), limit)
	}
	return data, nil
}
