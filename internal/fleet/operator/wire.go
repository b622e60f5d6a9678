package operator

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// minCompressedSize is the size in bytes from which a body is compressed. A list of routes compresses to a tenth
// or less.
const minCompressedSize = 2 << 10

// maxDecompressed bounds the size of a decompressed body, in bytes.
const maxDecompressed = 128 << 20

// errBadEncoding means that the input is not an encoded order.
var errBadEncoding = errors.New("operator: bytes that are no encoded order")

// Compress encodes bytes for Decompress. It compresses them if there are at least minCompressedSize.
func Compress(plain []byte) []byte {
	if len(plain) < minCompressedSize {
		return append([]byte{0}, plain...)
	}
	var buffer bytes.Buffer
	buffer.WriteByte(1)
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil { // cannot happen: the compression level is a valid constant
		panic(err)
	}
	_, err = writer.Write(plain)
	if err = errors.Join(err, writer.Close()); err != nil { // cannot happen: writes to a bytes.Buffer do not fail
		panic(err)
	}
	return buffer.Bytes()
}

// Decompress returns the original bytes from the output of Compress. It returns an error if the input is empty or
// its compressed data is corrupt.
func Decompress(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, errBadEncoding
	}
	if packed[0] == 0 {
		return packed[1:], nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxDecompressed+1))
	if err != nil {
		return nil, fmt.Errorf("operator: compressed bytes: %w", err)
	}
	if len(plain) > maxDecompressed {
		return nil, errBadEncoding
	}
	return plain, nil
}

// GobEncode encodes the order, with its body as Compress returns it.
func (o Order) GobEncode() ([]byte, error) {
	encoded := binary.AppendVarint(nil, o.Base)
	encoded = binary.AppendUvarint(encoded, uint64(len(o.Method)))
	encoded = append(encoded, o.Method...)
	return append(encoded, Compress(o.Body)...), nil
}

// GobDecode decodes the output of GobEncode.
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
