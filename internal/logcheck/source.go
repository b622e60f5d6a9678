package logcheck

import (
	"errors"
	"fmt"
	"go/ast"
	"go/constant"
	"go/token"
	"go/types"
	"log/slog"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/tools/go/packages"
)

// Source collects the log messages of root and of the packages of the main module that it depends on. logMethod is the
// full name of the method that the decision module calls to log a line. Packages below the path excluded, if it is not
// empty, are skipped. Paths in places and faults are relative to dir. The error is that of loading the packages.
func Source(dir, root, logMethod, excluded string) (l Log, faults []string, err error) {
	if dir, err = filepath.Abs(dir); err != nil {
		return l, nil, err
	}
	found, err := load(dir, packages.NeedName|packages.NeedImports|packages.NeedDeps|packages.NeedModule, root)
	if err != nil {
		return l, nil, err
	}
	var ours []string
	packages.Visit(found, nil, func(p *packages.Package) {
		if p.Module != nil && p.Module.Main && (excluded == "" || !strings.HasPrefix(p.PkgPath+"/", excluded+"/")) {
			ours = append(ours, p.PkgPath)
		}
	})
	found, err = load(dir, packages.LoadSyntax, ours...)
	if err != nil {
		return l, nil, err
	}
	l = newLog()
	for _, p := range found {
		r := reader{out: l, pkg: p, dir: dir, logMethod: logMethod, callees: map[*ast.Ident]bool{}, counted: map[ast.Expr]bool{}}
		for _, file := range p.Syntax {
			ast.Inspect(file, r.visit)
		}
		faults = append(faults, r.faults...)
	}
	return l, faults, nil
}

func load(dir string, mode packages.LoadMode, patterns ...string) ([]*packages.Package, error) {
	found, err := packages.Load(&packages.Config{Mode: mode, Dir: dir}, patterns...)
	if err != nil {
		return nil, fmt.Errorf("loading %s: %w", strings.Join(patterns, " "), err)
	}
	for _, p := range found {
		for _, e := range p.Errors {
			err = errors.Join(err, e)
		}
	}
	return found, err
}

// levels maps the methods that are named after a level to that level.
var levels = map[string]slog.Level{"Debug": slog.LevelDebug, "Info": slog.LevelInfo, "Warn": slog.LevelWarn,
	"Error": slog.LevelError}

// reader collects the log messages of one package.
type reader struct {
	out            Log
	pkg            *packages.Package
	dir, logMethod string
	callees        map[*ast.Ident]bool // names of functions that are called, not used as values
	counted        map[ast.Expr]bool   // attributes already counted with a message or With
	faults         []string
}

func (r *reader) place(at ast.Node) string {
	p := r.pkg.Fset.Position(at.Pos())
	if name, err := filepath.Rel(r.dir, p.Filename); err == nil {
		p.Filename = name
	}
	return fmt.Sprintf("%s:%d", p.Filename, p.Line)
}

func (r *reader) fault(at ast.Node, what string) { r.faults = append(r.faults, r.place(at)+": "+what) }

// visit checks one node of the syntax tree; a call is visited before its parts.
func (r *reader) visit(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.ImportSpec:
		if path, _ := strconv.Unquote(n.Path.Value); path == "log" {
			r.fault(n, "package log is imported: the node logs with log/slog")
		}
	case *ast.CallExpr:
		r.call(n)
	case *ast.CompositeLit:
		if types.TypeString(r.pkg.TypesInfo.TypeOf(n), nil) == "log/slog.Attr" {
			r.fault(n, "an attribute is built as a literal: its name cannot be compared")
		}
	case *ast.Ident:
		if f := r.slog(n); f != nil && !r.callees[n] && (level(f) != "" || f.Name() == "With") {
			r.fault(n, f.Name()+" of a logger is used as a value: its messages cannot be compared")
		}
	}
	return true
}

// slog returns the function or method of log/slog that a name refers to, or nil.
func (r *reader) slog(name *ast.Ident) *types.Func {
	f, ok := r.pkg.TypesInfo.Uses[name].(*types.Func)
	if !ok || f.Pkg() == nil || f.Pkg().Path() != "log/slog" {
		return nil
	}
	return f
}

// level returns the level at which a method logs, "?" if the level is an argument, or "" if the method logs no message.
func level(f *types.Func) string {
	if l, ok := levels[strings.TrimSuffix(f.Name(), "Context")]; ok {
		return l.String()
	}
	if f.Name() == "Log" || f.Name() == "LogAttrs" {
		return "?"
	}
	return ""
}

// call records the message or attributes that a call logs.
func (r *reader) call(c *ast.CallExpr) {
	name := callee(c)
	if name == nil {
		return
	}
	r.callees[name] = true
	if f, ok := r.pkg.TypesInfo.Uses[name].(*types.Func); ok && f.FullName() == r.logMethod {
		r.out.Module[r.form(c.Args[0])] = r.place(c)
	}
	f := r.slog(name)
	if f == nil {
		return
	}
	of := f.Signature().Recv()
	switch l := level(f); {
	case l != "" && of == nil, f.Name() == "Default", f.Name() == "SetDefault", f.Name() == "NewRecord":
		r.fault(c, "slog."+f.Name()+" bypasses the node's logger")
	case l != "" && types.TypeString(of.Type(), nil) == "*log/slog.Logger":
		r.message(c, f, l)
	case f.Name() == "With" && of != nil:
		r.common(c, r.attributes(c, c.Args))
	case of != nil && f.Name() == "WithGroup" && types.IsInterface(of.Type()): // a handler that delegates to another one
	case f.Name() == "WithGroup" || f.Name() == "Group" || f.Name() == "GroupAttrs":
		r.fault(c, "a group is used: the page does not support groups")
	case makesAttr(f) && !r.counted[c]:
		r.common(c, r.attributes(c, []ast.Expr{c}))
	}
}

func callee(c *ast.CallExpr) *ast.Ident {
	switch f := ast.Unparen(c.Fun).(type) {
	case *ast.SelectorExpr:
		return f.Sel
	case *ast.Ident:
		return f
	}
	return nil
}

// makesAttr reports whether a function returns an attribute made from a name and a value.
func makesAttr(f *types.Func) bool {
	s := f.Signature()
	return s.Recv() == nil && s.Results().Len() == 1 && s.Params().Len() == 2 && !s.Variadic() &&
		types.TypeString(s.Results().At(0).Type(), nil) == "log/slog.Attr"
}

func (r *reader) common(at ast.Node, names []string) {
	for _, name := range names {
		r.out.Common[name] = r.place(at)
	}
}

// message records the message of a call to a logger's method.
func (r *reader) message(c *ast.CallExpr, f *types.Func, level string) {
	args := c.Args
	if s := f.Signature().Params(); types.TypeString(s.At(0).Type(), nil) == "context.Context" {
		args = args[1:]
	}
	if level == "?" {
		v := r.pkg.TypesInfo.Types[args[0]].Value
		if v == nil {
			r.fault(c, "the level is not a constant")
			return
		}
		n, _ := constant.Int64Val(v)
		level, args = slog.Level(n).String(), args[1:]
	}
	text, ok := r.text(args[0])
	if !ok {
		r.fault(c, "the message is not a constant: variable data belongs in attributes")
		return
	}
	r.out.add(level+" "+text, r.attributes(c, args[1:]), r.place(c))
}

// attributes returns the names of the attributes in args: each is a name followed by a value, or a call of a slog
// function that returns an attribute.
func (r *reader) attributes(c *ast.CallExpr, args []ast.Expr) (names []string) {
	if c.Ellipsis.IsValid() {
		r.fault(c, "attributes are passed as a slice: their names cannot be compared")
		return nil
	}
	for i := 0; i < len(args); i++ {
		if name, ok := r.text(args[i]); ok {
			names = append(names, name)
			i++
			continue
		}
		made, ok := ast.Unparen(args[i]).(*ast.CallExpr)
		if ok && callee(made) != nil {
			if f := r.slog(callee(made)); f != nil && makesAttr(f) {
				if name, ok := r.text(made.Args[0]); ok {
					r.counted[made] = true
					names = append(names, name)
					continue
				}
			}
		}
		r.fault(args[i], "an attribute's name is not a constant")
		return names
	}
	return names
}

// text returns the value of a constant string expression, and whether e is one.
func (r *reader) text(e ast.Expr) (string, bool) {
	v := r.pkg.TypesInfo.Types[e].Value
	if v == nil || v.Kind() != constant.String {
		return "", false
	}
	return constant.StringVal(v), true
}

// form returns the constant parts of a text that is built at run time. Variable parts appear as "…", or as the verb
// of a format string.
func (r *reader) form(e ast.Expr) string {
	if text, ok := r.text(e); ok {
		return text
	}
	switch e := ast.Unparen(e).(type) {
	case *ast.BinaryExpr:
		if e.Op == token.ADD {
			return r.form(e.X) + r.form(e.Y)
		}
	case *ast.CallExpr:
		if name := callee(e); name != nil {
			if f, ok := r.pkg.TypesInfo.Uses[name].(*types.Func); ok && f.FullName() == "fmt.Sprintf" {
				return r.form(e.Args[0])
			}
		}
	}
	return "…"
}
