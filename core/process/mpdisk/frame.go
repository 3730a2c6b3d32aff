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

type frameStatus uint8

const (
	frameValid frameStatus = iota
	frameTorn
	frameCorrupt
)

// readFrame returns the payload of the frame at the start of data and the size of
// the frame including its header. Each frame is synced before the next one is
// written, so only the last one can be torn, that is, truncated or with a sector
// that was never written. Any other checksum failure means corruption.
func readFrame(data []byte) ([]byte, int, frameStatus) {
	if len(data) < headerBytes {
		return nil, 0, frameTorn
	}
	header := data[:headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		if isZero(data) {
			return nil, 0, frameTorn
		}
		return nil, 0, frameCorrupt
	}
	size := int(binary.LittleEndian.Uint32(header))
	if len(data)-headerBytes < size {
		return nil, 0, frameTorn
	}
	payload := data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(header[4:]) {
		return payload, headerBytes + size, frameValid
	}
	if len(data) == headerBytes+size && hasZeroSector(payload) {
		return nil, 0, frameTorn
	}
	return nil, 0, frameCorrupt
}

func isZero(data []byte) bool {
	return len(bytes.Trim(data, "\x00")) == 0
}

func hasZeroSector(payload []byte) bool {
	for start := 0; start+sectorBytes <= len(payload); start += sectorBytes {
		if isZero(payload[start : start+sectorBytes]) {
			return true
		}
	}
	return false
}
