// Command gen writes the page of all fields and the example file from the types of the options.
package main

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/internal/node/options"
)

// Where things are, from the folder of the options.
const (
	pagePath    = "../../../docs/configuration.md"
	examplePath = "../../../deploy/linenwheel.toml"
)

func main() {
	docs, err := read(".")
	if err == nil {
		err = os.WriteFile(pagePath, []byte(page(docs)), 0o644)
	}
	if err == nil {
		err = os.WriteFile(examplePath, []byte(example(docs)), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// read gives the comments of the types in a folder's sources, and of their fields by "Type.name in TOML".
func read(folder string) (map[string]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	docs := map[string]string{}
	for _, path := range paths {
		if err == nil && !strings.HasSuffix(path, "_test.go") {
			err = readFile(path, docs)
		}
	}
	return docs, err
}

func readFile(path string, docs map[string]string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.TYPE {
			continue
		}
		for _, spec := range group.Specs {
			t := spec.(*ast.TypeSpec)
			docs[t.Name.Name] = plain(t.Name.Name, group.Doc.Text())
			s, ok := t.Type.(*ast.StructType)
			if !ok {
				continue
			}
			for _, f := range s.Fields.List {
				if f.Tag == nil {
					continue
				}
				tag, err := strconv.Unquote(f.Tag.Value)
				if err != nil {
					return err
				}
				docs[t.Name.Name+"."+reflect.StructTag(tag).Get("toml")] = plain(f.Names[0].Name, f.Doc.Text())
			}
		}
	}
	return nil
}

var verb = regexp.MustCompile(`^(is|are|says|holds) `)

// plain makes a sentence of a comment that begins with a name of the code.
func plain(name, text string) string {
	text = strings.Join(strings.Fields(text), " ")
	if rest, ok := strings.CutPrefix(text, name+" "); ok && verb.MatchString(rest) {
		rest = verb.ReplaceAllString(rest, "")
		return strings.ToUpper(rest[:1]) + rest[1:]
	}
	return text
}

// each calls head for every table that has fields of its own, and row for each of these.
func each(docs map[string]string, head func(t options.Table, doc string), row func(name, doc string, f options.Field)) {
	fields := options.Fields()
	for _, t := range options.Tables() {
		first := true
		for _, f := range fields {
			name, ok := strings.CutPrefix(f.Path, t.Path+".")
			if !ok || f.List || strings.Contains(name, ".") {
				continue
			}
			if first {
				head(t, docs[t.Type])
				first = false
			}
			row(name, docs[t.Type+"."+name], f)
		}
	}
}

const pageHead = `# The options file

This page is generated from the types in ` + "`internal/node/options`" + `; ` + "`go generate ./internal/node/options`" + ` writes it.
[operate/configuration.md](operate/configuration.md) tells how the file is named, checked and read again.

A time is written with its unit (` + "`\"250ms\"`, `\"2s\"`, `\"1m30s\"`" + `), a size in ` + "`B`, `KiB`, `MiB` or `GiB`" + `
(` + "`\"64KiB\"`" + `). A field that the file does not name has its default. The last column but one says when a changed field
is taken: at a SIGHUP, or at the next start.
`

// page is the page of all fields.
func page(docs map[string]string) string {
	var b strings.Builder
	b.WriteString(pageHead)
	each(docs, func(t options.Table, doc string) {
		fmt.Fprintf(&b, "\n## `%s`\n\n%s\n\n| field | type | default | from, to | taken at | meaning |\n", header(t), doc)
		b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	}, func(name, doc string, f options.Field) {
		taken := "start"
		if f.Now {
			taken = "SIGHUP"
		}
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s | %s | %s |\n", name, f.Type(), f.Default, bounds(f), taken, doc)
	})
	return b.String()
}

func bounds(f options.Field) string {
	if len(f.OneOf) > 0 {
		return strings.Join(f.OneOf, ", ")
	}
	return strings.TrimSpace(cmp.Or(f.Min, "any") + ", " + cmp.Or(f.Max, "any"))
}

const exampleHead = `# Every option of linenwheel at its default. This file is generated (go generate ./internal/node/options).
# In a file of your own, keep only the fields that you change. docs/configuration.md has their bounds.
`

// example is a file that names every field at its default.
func example(docs map[string]string) string {
	var b strings.Builder
	b.WriteString(exampleHead)
	off := "" // in front of what stands there as a comment: a list of tables is empty
	each(docs, func(t options.Table, doc string) {
		if off = ""; t.Item {
			off = "# "
		}
		fmt.Fprintf(&b, "\n%s%s%s\n", comment(doc), off, header(t))
	}, func(name, doc string, f options.Field) {
		fmt.Fprintf(&b, "\n%s%s%s = %s\n", comment(doc), off, name, f.Default)
	})
	return b.String()
}

// header is the line that begins a table.
func header(t options.Table) string {
	if t.Item {
		return "[[" + t.Path + "]]"
	}
	return "[" + t.Path + "]"
}

// comment breaks a text into lines of a comment.
func comment(text string) string {
	const width = 110
	out, line := "", "#"
	for _, word := range strings.Fields(text) {
		if len(line)+1+len(word) > width {
			out, line = out+line+"\n", "#"
		}
		line += " " + word
	}
	return out + line + "\n"
}
