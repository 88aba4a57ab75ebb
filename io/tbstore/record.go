package tbstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// headerBytes is the length and the checksum before each record.
const headerBytes = 8

// maxRecordBytes bounds a record, so that a damaged length is noticed.
const maxRecordBytes = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame puts the length and the checksum before a payload.
func frame(payload []byte) []byte {
	record := make([]byte, 0, headerBytes+len(payload))
	record = binary.LittleEndian.AppendUint32(record, uint32(len(payload)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, castagnoli))
	return append(record, payload...)
}

// readRecord returns the payload at offset, or false where none is whole.
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

// DamageError tells where stored data is not what was written.
type DamageError struct {
	File   string
	Offset int
	Detail string
}

// Error names file and offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %q is damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

// readRecords returns all payloads of a segment and the length of its whole part.
//
// A bad record with no whole record after it, in the last segment, is a write
// that a crash cut off. A record is written only after the one before it is
// synced, so a whole record after a bad one proves that the bad one was once
// whole and promised.
func readRecords(name string, data []byte, lastSegment bool) (payloads [][]byte, whole int, err error) {
	for offset := 0; offset < len(data); {
		payload, ok := readRecord(data, offset)
		if !ok {
			if !lastSegment {
				return nil, 0, &DamageError{File: name, Offset: offset, Detail: "record is not whole and later segments exist"}
			}
			if next, found := wholeRecordAfter(data, offset); found {
				detail := fmt.Sprintf("record is not whole, but the one at offset %d is", next)
				return nil, 0, &DamageError{File: name, Offset: offset, Detail: detail}
			}
			return payloads, offset, nil
		}
		payloads = append(payloads, payload)
		offset += headerBytes + len(payload)
	}
	return payloads, len(data), nil
}

func wholeRecordAfter(data []byte, offset int) (int, bool) {
	for next := offset + 1; next < len(data)-headerBytes; next++ {
		if _, ok := readRecord(data, next); ok {
			return next, true
		}
	}
	return 0, false
}
