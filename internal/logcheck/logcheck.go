// Package logcheck compares the messages that the source logs with the tables of the operators' page, so that the page
// explains every log line and lists none that is never logged. It is a check of this repository, not part of the node.
//
// The source is type-checked: a message is the constant passed to a method of *slog.Logger, whatever the variable's
// name. Anything that cannot be compared, such as a message that is built at run time, is reported as a fault.
package logcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Log is the set of messages and attributes found in the source or on the page.
type Log struct {
	Messages map[string]Message // keyed by level and text, as "WARN the sentence"
	Common   map[string]string  // attributes that do not belong to a single message, with the place where each is set
	Module   map[string]string  // forms of the lines that the decision module logs, with their places
}

// Message is a constant log message.
type Message struct {
	Attributes []string // sorted
	Place      string   // file and line of its first occurrence
}

func newLog() Log {
	return Log{Messages: map[string]Message{}, Common: map[string]string{}, Module: map[string]string{}}
}

// add records a message at a place. A message that is logged in several places has the attributes of all of them.
func (l Log) add(text string, attributes []string, place string) {
	m, known := l.Messages[text]
	if !known {
		m.Place = place
	}
	m.Attributes = append(m.Attributes, attributes...)
	slices.Sort(m.Attributes)
	m.Attributes = slices.Compact(m.Attributes)
	l.Messages[text] = m
}

// Add merges the log of another program into l.
func (l Log) Add(other Log) {
	for text, m := range other.Messages {
		l.add(text, m.Attributes, m.Place)
	}
	maps.Copy(l.Common, other.Common)
	maps.Copy(l.Module, other.Module)
}

// Compare returns a line for each difference between the source and the page, sorted.
func Compare(source, page Log) []string {
	var diffs []string
	differ := func(what string, source, page map[string]string) {
		for name, place := range source {
			if _, ok := page[name]; !ok {
				diffs = append(diffs, fmt.Sprintf("%s: the page lacks the %s %q", place, what, name))
			}
		}
		for name, place := range page {
			if _, ok := source[name]; !ok {
				diffs = append(diffs, fmt.Sprintf("%s: the source lacks the %s %q", place, what, name))
			}
		}
	}
	differ("message", places(source), places(page))
	differ("attribute", source.Common, page.Common)
	differ("line of the decision module", source.Module, page.Module)
	for text, m := range source.Messages {
		if p, ok := page.Messages[text]; ok && !slices.Equal(m.Attributes, p.Attributes) {
			diffs = append(diffs, fmt.Sprintf("%s: %q has the attributes %s, but %s on the page", m.Place, text,
				strings.Join(m.Attributes, " "), strings.Join(p.Attributes, " ")))
		}
	}
	slices.Sort(diffs)
	return diffs
}

func places(l Log) map[string]string {
	at := map[string]string{}
	for text, m := range l.Messages {
		at[text] = m.Place
	}
	return at
}

// Header rows of the tables that are compared; other tables are ignored.
const (
	messageHeader = "message|level|attributes|what it means|what to do"
	commonHeader  = "attribute|what it says"
	moduleHeader  = "the module says|what it means|what to do"
)

// Page parses the tables of a Markdown page; name is used in places and faults. The names to compare are in code spans.
// A row with an empty cell and a duplicate row are faults.
func Page(name, text string) (l Log, faults []string) {
	l = newLog()
	header := ""
	number := 0
	for line := range strings.Lines(text) {
		number++
		row, ok := strings.CutPrefix(strings.TrimSpace(line), "|")
		if !ok {
			header = ""
			continue
		}
		cells := strings.Split(strings.TrimSuffix(row, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if header == "" {
			header = strings.Join(cells, "|")
			continue
		}
		if header != messageHeader && header != commonHeader && header != moduleHeader || strings.Trim(row, "-|: \n") == "" {
			continue
		}
		place := fmt.Sprintf("%s:%d", name, number)
		names := spans(cells[0])
		if len(names) != 1 || len(cells) != strings.Count(header, "|")+1 || slices.Contains(cells, "") {
			faults = append(faults, place+": a row with a missing cell, or without exactly one code span in the first")
			continue
		}
		known := false
		switch header {
		case messageHeader:
			text := cells[1] + " " + names[0]
			_, known = l.Messages[text]
			l.add(text, spans(cells[2]), place)
		case commonHeader:
			_, known = l.Common[names[0]]
			l.Common[names[0]] = place
		case moduleHeader:
			_, known = l.Module[names[0]]
			l.Module[names[0]] = place
		}
		if known {
			faults = append(faults, place+": a duplicate row")
		}
	}
	return l, faults
}

// spans returns the contents of the code spans of a cell.
func spans(cell string) (inside []string) {
	for i, part := range strings.Split(cell, "`") {
		if i%2 == 1 {
			inside = append(inside, part)
		}
	}
	return inside
}
