package operator

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// compressFrom is the size of a body from which on it is compressed: a list of routes shrinks to a tenth or less.
const compressFrom = 2 << 10

// maxDecompressed bounds what a compressed body may grow to.
const maxDecompressed = 128 << 20

// errBadEncoding says that bytes are not an encoded order.
var errBadEncoding = errors.New("operator: bytes that are no encoded order")

// Compress returns bytes in a form that Decompress reads, smaller where that is worth it.
func Compress(plain []byte) []byte {
	if len(plain) < compressFrom {
		return append([]byte{0}, plain...)
	}
	var buffer bytes.Buffer
	buffer.WriteByte(1)
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil { // the level is a constant
		panic(err)
	}
	_, err = writer.Write(plain)
	if err = errors.Join(err, writer.Close()); err != nil { // the buffer takes everything
		panic(err)
	}
	return buffer.Bytes()
}

// Decompress returns what Compress was given.
func Decompress(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, errBadEncoding
	}
	if packed[0] == 0 {
		return packed[1:], nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxDecompressed))
	if err != nil {
		return nil, fmt.Errorf("operator: compressed bytes: %w", err)
	}
	return plain, nil
}

// GobEncode writes the order with its body compressed.
func (o Order) GobEncode() ([]byte, error) {
	encoded := binary.AppendVarint(nil, o.Base)
	encoded = binary.AppendUvarint(encoded, uint64(len(o.Method)))
	encoded = append(encoded, o.Method...)
	return append(encoded, Compress(o.Body)...), nil
}

// GobDecode reads what GobEncode wrote.
func (o *Order) GobDecode(encoded []byte) error {
	base, used := binary.Varint(encoded)
	if used <= 0 {
		return errBadEncoding
	}
	encoded = encoded[used:]
	length, used := binary.Uvarint(encoded)
	if used <= 0 || length > uint64(len(encoded)-used) {
		return errBadEncoding
	}
	method, rest := encoded[used:used+int(length)], encoded[used+int(length):]
	body, err := Decompress(rest)
	if err != nil {
		return err
	}
	o.Method, o.Base, o.Body = string(method), base, bytes.Clone(body)
	return nil
}
