package tbstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// headerBytes is the size of a record's header, which consists of the payload's length and checksum.
const headerBytes = 8

// maxRecordBytes is the size of the largest payload that readRecord accepts. A larger length is taken
// for corruption. Writes are not checked against this limit.
const maxRecordBytes = 256 << 20

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// frameRecord returns a record: the header, followed by the payload.
func frameRecord(payload []byte) []byte {
	record := make([]byte, 0, headerBytes+len(payload))
	record = binary.LittleEndian.AppendUint32(record, uint32(len(payload)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, crcTable))
	return append(record, payload...)
}

// readRecord returns the payload of the record at offset. The second result is false if there is no
// valid record at offset.
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
	return payload, crc32.Checksum(payload, crcTable) == sum
}

// CorruptionError reports where stored data is corrupted. Offset is in bytes from the start of File.
type CorruptionError struct {
	File   string
	Offset int
	Detail string
}

// Error returns the file, the offset and the detail.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("file %q is corrupted at offset %d: %s", e.File, e.Offset, e.Detail)
}

// readRecords returns the payloads of a segment's valid records and the length of its valid part.
//
// In the last segment, an invalid record that no valid record follows is a write that a crash cut off.
// A record is written only after the previous record is synced. So if a valid record follows, the
// invalid record was once complete and may have been acknowledged; this is corruption.
func readRecords(name string, data []byte, isLastSegment bool) (payloads [][]byte, validLen int, err error) {
	for offset := 0; offset < len(data); {
		payload, ok := readRecord(data, offset)
		if !ok {
			if !isLastSegment {
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

// findValidRecordAfter returns the offset of the first valid record after an invalid one at offset. It
// tries every later offset, because the length in the invalid record may be wrong.
func findValidRecordAfter(data []byte, offset int) (int, bool) {
	for next := offset + 1; next < len(data)-headerBytes; next++ {
		if _, ok := readRecord(data, next); ok {
			return next, true
		}
	}
	return 0, false
}
