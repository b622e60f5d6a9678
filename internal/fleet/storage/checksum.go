package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// checksumSize is the size in bytes of the checksum at the beginning of each value.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of a key and its payload.
func checksum(key string, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, payload)
}

// prependChecksum returns the value to be stored for a payload: its checksum followed by the payload.
func prependChecksum(key string, payload []byte) string {
	value := binary.BigEndian.AppendUint32(nil, checksum(key, payload))
	return string(append(value, payload...))
}

// verifyChecksum returns the payload of a value and reports whether the checksum matches the key and the payload.
func verifyChecksum(key, value string) (payload []byte, intact bool) {
	if len(value) < checksumSize {
		return nil, false
	}
	payload = []byte(value[checksumSize:])
	return payload, binary.BigEndian.Uint32([]byte(value[:checksumSize])) == checksum(key, payload)
}
