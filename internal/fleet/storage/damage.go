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

// checksum is that of a key with its payload.
func checksum(key string, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, payload)
}

func appendChecksum(key string, payload []byte) string {
	value := binary.BigEndian.AppendUint32(nil, checksum(key, payload))
	return string(append(value, payload...))
}

// verifyChecksum gives the payload of a value and whether key and value are as they were written.
func verifyChecksum(key, value string) ([]byte, bool) {
	if len(value) < checksumSize {
		return nil, false
	}
	payload := []byte(value[checksumSize:])
	return payload, binary.BigEndian.Uint32([]byte(value[:checksumSize])) == checksum(key, payload)
}

// truncateAtDamage shortens a database file to its longest beginning of whole, intact commands. What follows was never synced.
func truncateAtDamage(path string) error {
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
		parts, err := scanner.command()
		if err != nil || parts[0] != setCommand {
			return len(content) - len(scanner.unaccepted())
		}
		if _, intact := verifyChecksum(parts[1], parts[2]); !intact {
			return len(content) - len(scanner.unaccepted())
		}
		scanner.accept()
	}
}

var errDamaged = errors.New("damaged command")

// commandScanner reads the commands of a database file: arrays of length-prefixed strings, each a "set" of key and value.
type commandScanner struct {
	rest     []byte
	accepted []byte // what follows the last command that was accepted
	started  bool
}

func (s *commandScanner) unaccepted() []byte {
	if !s.started {
		return s.rest
	}
	return s.accepted
}

func (s *commandScanner) accept() { s.started, s.accepted = true, s.rest }

// A set command has these parts: its name, a key and a value.
const (
	setArguments = 3
	setCommand   = "set"
)

func (s *commandScanner) command() (parts [setArguments]string, err error) {
	if !s.started {
		s.accept()
	}
	count, err := s.number('*')
	if err != nil {
		return parts, err
	}
	if count != setArguments {
		return parts, errDamaged
	}
	for i := range parts {
		if parts[i], err = s.text(); err != nil {
			return parts, err
		}
	}
	return parts, nil
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
