package logcheck

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a log message that the operators' page does not explain, and against a message on the page that is
// no longer logged.
func TestPageAndSourceAgree(t *testing.T) {
	source, faults, err := Source("../..", "./cmd/linenwheel", "(linenwheel.dev/linenwheel/decide.Actions).Log",
		"linenwheel.dev/linenwheel/lab")
	require.NoError(t, err)
	assert.Empty(t, faults)
	for _, program := range []string{"./cmd/linenwheel-etcd", "./cmd/linenwheel-keep"} {
		other, faults, err := Source("../..", program, "", "linenwheel.dev/linenwheel/lab")
		require.NoError(t, err)
		assert.Empty(t, faults)
		source.Add(other)
	}
	text, err := os.ReadFile("../../docs/ONCALL.md")
	require.NoError(t, err)
	page, faults := Page("docs/ONCALL.md", string(text))
	assert.Empty(t, faults)
	assert.Empty(t, Compare(source, page))
	assert.NotEmpty(t, source.Messages)
	assert.NotEmpty(t, source.Module)
}

// Guards against a check that overlooks calls whose message, level or attributes are not constants, or that bypass the
// node's logger.
func TestFaultsOfTheSource(t *testing.T) {
	const file = "testdata/odd/odd.go:"
	l, faults, err := Source(".", "./testdata/odd",
		"(linenwheel.dev/linenwheel/internal/logcheck/testdata/odd.teller).Log", "")
	require.NoError(t, err)
	assert.Equal(t, Log{Messages: map[string]Message{
		"INFO bad thing": {[]string{"a", "b", "c"}, file + "18"}, "ERROR worse": {[]string{"a"}, file + "20"},
		"INFO attr": {nil, file + "32"}, "INFO group": {nil, file + "33"}, "INFO list": {nil, file + "30"},
		"INFO name": {nil, file + "31"},
	}, Common: map[string]string{"part": file + "17", "shared": file + "21"},
		Module: map[string]string{"zone … is out": file + "22", "room for %d": file + "23"}}, l)
	assert.Equal(t, []string{
		file + "7: package log is imported: the node logs with log/slog",
		file + "26: slog.Info bypasses the node's logger",
		file + "27: the message is not a constant: variable data belongs in attributes",
		file + "28: the message is not a constant: variable data belongs in attributes",
		file + "29: the level is not a constant",
		file + "30: attributes are passed as a slice: their names cannot be compared",
		file + "31: an attribute's name is not a constant",
		file + "32: an attribute's name is not a constant",
		file + "32: an attribute is built as a literal: its name cannot be compared",
		file + "33: a group is used: the page does not support groups",
		file + "34: Warn of a logger is used as a value: its messages cannot be compared",
	}, faults)
}

// Guards against a page that is not parsed, and against a comparison that finds surplus entries on one side only.
func TestSurplusOfEitherSide(t *testing.T) {
	page, faults := Page("p", "| message | level | attributes | what it means | what to do |\n| --- | - | - | - | - |\n"+
		"| `both` | INFO | `a`, `b` | m | n |\n| `old` | WARN | none | m | n |\n| `old` | WARN | none | m | n |\n"+
		"| `both` | INFO | `c` | | n |\n\n| attribute | what it says |\n| --- | --- |\n| `part` | m |\n\n"+
		"| other | what |\n| --- | --- |\n| `x` | y |\n\n| the module says | what it means | what to do |\n| --- | - | - |\n"+
		"| `zone …` | m | n |\n")
	assert.Equal(t, []string{"p:5: a duplicate row",
		"p:6: a row with a missing cell, or without exactly one code span in the first"}, faults)
	source := newLog()
	source.add("INFO both", []string{"b"}, "f:1")
	source.add("WARN new", nil, "f:2")
	source.Common["held_back"] = "f:3"
	source.Module["room"] = "f:4"
	assert.Equal(t, []string{
		`f:1: "INFO both" has the attributes b, but a b on the page`,
		`f:2: the page lacks the message "WARN new"`,
		`f:3: the page lacks the attribute "held_back"`,
		`f:4: the page lacks the line of the decision module "room"`,
		`p:10: the source lacks the attribute "part"`,
		`p:18: the source lacks the line of the decision module "zone …"`,
		`p:4: the source lacks the message "WARN old"`,
	}, Compare(source, page))
}
