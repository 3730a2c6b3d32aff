package mpdisk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// batch is the content of one frame, which is written and synced as a unit.
type batch struct {
	HardState *mpquorum.HardState `msgpack:"hard,omitempty"`
	Entries   []mpquorum.Entry    `msgpack:"entries,omitempty"`
}

// encodeFrame encodes a batch as one frame: payload length, payload checksum and
// header checksum (little-endian), followed by the payload.
func encodeFrame(b batch) ([]byte, error) {
	payload, err := msgpack.Marshal(b)
	if err != nil {
		return nil, mperror.Wrap(err, "encode log batch")
	}
	return newFrame(payload), nil
}

func newFrame(payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return append(frame, payload...)
}

// readFrame returns the payload of the frame at the start of data and the size of the
// frame including its header, or false if there is no complete and unchanged frame.
func readFrame(data []byte) ([]byte, int, bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	header := data[:headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, 0, false
	}
	size := uint64(binary.LittleEndian.Uint32(header))
	if uint64(len(data)-headerBytes) < size {
		return nil, 0, false
	}
	payload := data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, 0, false
	}
	return payload, headerBytes + len(payload), true
}

// hasFrame reports whether a valid frame begins anywhere in data.
func hasFrame(data []byte) bool {
	for ; len(data) >= headerBytes; data = data[1:] {
		if _, _, ok := readFrame(data); ok {
			return true
		}
	}
	return false
}
