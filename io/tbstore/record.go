package tbstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// headerBytes is the size of the length and the checksum in front of each payload.
const headerBytes = 8

// maxRecordBytes is the largest payload that readRecord accepts, so that a corrupted length is
// detected; writes are not checked against it.
const maxRecordBytes = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameRecord returns a payload with its length and checksum in front.
func frameRecord(payload []byte) []byte {
	record := make([]byte, 0, headerBytes+len(payload))
	record = binary.LittleEndian.AppendUint32(record, uint32(len(payload)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, castagnoli))
	return append(record, payload...)
}

// readRecord returns the payload of the record at offset, or false if there is no valid one.
func readRecord(data []byte, offset int) ([]byte, bool) {
	if len(data)-offset < headerBytes {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(data[offset:]))
	sum := binary.LittleEndian.Uint32(data[offset+4:])
	if size == 0 || size > maxRecordBytes || size > len(data)-offset-headerBytes {
		return nil, false
	}
	payload := data[offset+headerBytes : offset+headerBytes+size]
	return payload, crc32.Checksum(payload, castagnoli) == sum
}

// CorruptionError reports where stored data is corrupted.
type CorruptionError struct {
	File   string
	Offset int
	Detail string
}

// Error returns the file, the offset and the detail.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("file %q is corrupted at offset %d: %s", e.File, e.Offset, e.Detail)
}

// readRecords returns all payloads of a segment and the length of its valid part.
//
// An invalid record in the last segment with no valid record after it is a write that a crash
// cut off. A record is written only after the one before it is synced, so a valid record after
// an invalid one proves that the invalid one was once complete and acknowledged.
func readRecords(name string, data []byte, lastSegment bool) (payloads [][]byte, validLen int, err error) {
	for offset := 0; offset < len(data); {
		payload, ok := readRecord(data, offset)
		if !ok {
			if !lastSegment {
				return nil, 0, &CorruptionError{File: name, Offset: offset, Detail: "invalid record, but later segments exist"}
			}
			if next, found := findValidRecordAfter(data, offset); found {
				detail := fmt.Sprintf("invalid record, but the one at offset %d is valid", next)
				return nil, 0, &CorruptionError{File: name, Offset: offset, Detail: detail}
			}
			return payloads, offset, nil
		}
		payloads = append(payloads, payload)
		offset += headerBytes + len(payload)
	}
	return payloads, len(data), nil
}

// findValidRecordAfter tries every offset, because the length in an invalid record may be wrong.
func findValidRecordAfter(data []byte, offset int) (int, bool) {
	for next := offset + 1; next < len(data)-headerBytes; next++ {
		if _, ok := readRecord(data, next); ok {
			return next, true
		}
	}
	return 0, false
}
