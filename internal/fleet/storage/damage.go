package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"strconv"
)

// checksumSize is the size of the checksum that begins each value.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sealValue(payload []byte) string {
	value := binary.BigEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoli))
	return string(append(value, payload...))
}

// openValue gives the payload of a value and whether it is as it was written.
func openValue(value string) ([]byte, bool) {
	if len(value) < checksumSize {
		return nil, false
	}
	payload := []byte(value[checksumSize:])
	return payload, binary.BigEndian.Uint32([]byte(value[:checksumSize])) == crc32.Checksum(payload, castagnoli)
}

// cutAtDamage shortens a database file to its longest beginning of whole, intact commands. What follows was never synced.
func cutAtDamage(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	intact := intactLength(content)
	if intact == len(content) {
		return nil
	}
	if err := os.Truncate(path, int64(intact)); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}

// intactLength is the length of the whole, intact commands with which a database file begins.
func intactLength(content []byte) int {
	scanner := &commandScanner{rest: content}
	for {
		value, err := scanner.command()
		if err != nil {
			return len(content) - len(scanner.whole())
		}
		if _, intact := openValue(value); !intact {
			return len(content) - len(scanner.whole())
		}
		scanner.accept()
	}
}

var errDamaged = errors.New("damaged command")

// commandScanner reads the commands of a database file: arrays of length-prefixed strings, each a "set" of key and value.
type commandScanner struct {
	rest     []byte
	accepted []byte // what follows the last command that was accepted
	begun    bool
}

func (s *commandScanner) whole() []byte {
	if !s.begun {
		return s.rest
	}
	return s.accepted
}

func (s *commandScanner) accept() { s.begun, s.accepted = true, s.rest }

// setParts is the number of parts of a set command.
const setParts = 3

func (s *commandScanner) command() (string, error) {
	if !s.begun {
		s.accept()
	}
	count, err := s.number('*')
	if err != nil {
		return "", err
	}
	if count != setParts {
		return "", errDamaged
	}
	var value string
	for range count {
		if value, err = s.text(); err != nil {
			return "", err
		}
	}
	return value, nil
}

// number reads a line of a mark and a number.
func (s *commandScanner) number(mark byte) (int, error) {
	line, rest, found := bytes.Cut(s.rest, []byte("\r\n"))
	if !found {
		return 0, io.ErrUnexpectedEOF
	}
	if len(line) < 2 || line[0] != mark {
		return 0, errDamaged
	}
	value, err := strconv.Atoi(string(line[1:]))
	if err != nil || value < 0 {
		return 0, errDamaged
	}
	s.rest = rest
	return value, nil
}

func (s *commandScanner) text() (string, error) {
	size, err := s.number('$')
	if err != nil {
		return "", err
	}
	if len(s.rest) < size+2 {
		return "", io.ErrUnexpectedEOF
	}
	text, end := s.rest[:size], s.rest[size:size+2]
	if string(end) != "\r\n" {
		return "", errDamaged
	}
	s.rest = s.rest[size+2:]
	return string(text), nil
}
