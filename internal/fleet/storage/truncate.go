package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
)

// errDamaged means that a command does not have the format in which the database writes it.
var errDamaged = errors.New("storage: damaged command")

// A set command consists of three arguments: its name, a key and a value.
const (
	setCommand   = "set"
	setArguments = 3
)

// truncateAtDamage truncates a database file after its longest prefix of complete and intact commands. The part
// that it removes was never synced.
func truncateAtDamage(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	intact, _ := intactPrefix(content)
	if intact == len(content) {
		return nil
	}
	if err := os.Truncate(path, int64(intact)); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}

// intactPrefix returns the length in bytes of the longest prefix of complete and intact commands, and the last
// payload of each key within that prefix.
func intactPrefix(content []byte) (length int, values map[string][]byte) {
	values = map[string][]byte{}
	scanner := commandScanner{remaining: content}
	for {
		length = len(content) - len(scanner.remaining)
		arguments, err := scanner.command()
		if err != nil || arguments[0] != setCommand {
			return length, values
		}
		payload, intact := verifyChecksum(arguments[1], arguments[2])
		if !intact {
			return length, values
		}
		values[arguments[1]] = payload
	}
}

// commandScanner reads the commands of a database file: arrays of length-prefixed strings, each a "set" with a key
// and a value.
type commandScanner struct {
	remaining []byte
}

// command reads the next command. It returns io.ErrUnexpectedEOF at the end of the file and for a torn command,
// and errDamaged for a command that is not a set.
func (s *commandScanner) command() (arguments [setArguments]string, err error) {
	count, err := s.number('*')
	if err != nil {
		return arguments, err
	}
	if count != setArguments {
		return arguments, errDamaged
	}
	for i := range arguments {
		if arguments[i], err = s.text(); err != nil {
			return arguments, err
		}
	}
	return arguments, nil
}

// number reads a line that consists of a prefix byte and a non-negative number.
func (s *commandScanner) number(prefix byte) (int, error) {
	line, remaining, found := bytes.Cut(s.remaining, []byte("\r\n"))
	if !found {
		return 0, io.ErrUnexpectedEOF
	}
	if len(line) < 2 || line[0] != prefix {
		return 0, errDamaged
	}
	value, err := strconv.Atoi(string(line[1:]))
	if err != nil || value < 0 {
		return 0, errDamaged
	}
	s.remaining = remaining
	return value, nil
}

// text reads a line with a length in bytes, and then a string of that length.
func (s *commandScanner) text() (string, error) {
	size, err := s.number('$')
	if err != nil {
		return "", err
	}
	if len(s.remaining) < size+2 {
		return "", io.ErrUnexpectedEOF
	}
	text, end := s.remaining[:size], s.remaining[size:size+2]
	if string(end) != "\r\n" {
		return "", errDamaged
	}
	s.remaining = s.remaining[size+2:]
	return string(text), nil
}
