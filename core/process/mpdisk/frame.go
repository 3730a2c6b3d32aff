package mpdisk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

const (
	headerBytes = 12
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// batch is what one synchronised write holds.
type batch struct {
	Hard    *mpquorum.HardState `msgpack:"hard,omitempty"`
	Entries []mpquorum.Entry    `msgpack:"entries,omitempty"`
}

// encodeFrame lays out a batch as length, payload checksum, header checksum
// and payload, all little-endian.
func encodeFrame(b batch) ([]byte, error) {
	payload, err := msgpack.Marshal(b)
	if err != nil {
		return nil, mperror.Wrap(err, "encode log batch")
	}
	return seal(payload), nil
}

func seal(payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return append(frame, payload...)
}

type verdict uint8

const (
	whole verdict = iota
	torn
	corrupt
)

// readFrame returns the payload of the frame at the start of data and its
// length with the header. Each frame is synchronised before the next one is
// written, so only the last one can be torn: one that is short, or in which a
// sector was never written. Anything else that fails a checksum is corrupt.
func readFrame(data []byte) ([]byte, int, verdict) {
	if len(data) < headerBytes {
		return nil, 0, torn
	}
	header := data[:headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		if isZero(data) {
			return nil, 0, torn
		}
		return nil, 0, corrupt
	}
	size := int(binary.LittleEndian.Uint32(header))
	if len(data)-headerBytes < size {
		return nil, 0, torn
	}
	payload := data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(header[4:]) {
		return payload, headerBytes + size, whole
	}
	if len(data) == headerBytes+size && lacksSector(payload) {
		return nil, 0, torn
	}
	return nil, 0, corrupt
}

func isZero(data []byte) bool {
	return len(bytes.Trim(data, "\x00")) == 0
}

func lacksSector(payload []byte) bool {
	for start := 0; start+sectorBytes <= len(payload); start += sectorBytes {
		if isZero(payload[start : start+sectorBytes]) {
			return true
		}
	}
	return false
}
