package options

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time, written with its unit: "250ms", "2s", "1m30s".
type Duration struct {
	Ms float64 `toml:"-"` // milliseconds
}

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return errors.New(`want a time with its unit, such as "250ms"`)
	}
	d.Ms = float64(t) / 1e6
	return nil
}

// MarshalText writes the time so that UnmarshalText reads the same.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string {
	switch {
	case d.Ms == 0:
		return "0s"
	case math.Mod(d.Ms, 1000) == 0 && d.Ms < 60000:
		return strconv.FormatFloat(d.Ms/1000, 'f', -1, 64) + "s"
	case d.Ms < 60000:
		return strconv.FormatFloat(d.Ms, 'f', -1, 64) + "ms"
	}
	return time.Duration(math.Round(d.Ms * 1e6)).String()
}

// Size is a number of bytes, written with its unit: "64KiB", "1MiB", "512B".
type Size struct {
	Bytes int `toml:"-"`
}

var units = []struct {
	name  string
	bytes int
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		if number, ok := strings.CutSuffix(string(text), u.name); ok {
			n, err := strconv.Atoi(number)
			if err != nil || n < 0 || n > math.MaxInt/u.bytes {
				break
			}
			s.Bytes = n * u.bytes
			return nil
		}
	}
	return errors.New(`want a size with its unit (B, KiB, MiB, GiB), such as "64KiB"`)
}

// MarshalText writes the size so that UnmarshalText reads the same.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Size) String() string {
	for _, u := range units {
		if s.Bytes >= u.bytes && s.Bytes%u.bytes == 0 {
			return strconv.Itoa(s.Bytes/u.bytes) + u.name
		}
	}
	return "0B"
}
