package architecture

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Bounds that a reader's screen sets.
const (
	mostFileLines     = 400
	mostFunctionLines = 60
)

// reading collects what a newcomer would stumble over.
type reading struct {
	set   *token.FileSet
	found []string
}

func (r *reading) add(at token.Pos, format string, args ...any) {
	p := r.set.Position(at)
	r.found = append(r.found, fmt.Sprintf("%s:%d: %s", p.Filename, p.Line, fmt.Sprintf(format, args...)))
}

func (r *reading) file(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	parsed, err := parser.ParseFile(r.set, path, raw, parser.ParseComments)
	if err != nil || ast.IsGenerated(parsed) {
		return err
	}
	if lines := bytes.Count(raw, []byte("\n")); lines > mostFileLines {
		r.add(parsed.Pos(), "%d lines in one file", lines)
	}
	for _, d := range parsed.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			r.function(d)
		case *ast.GenDecl:
			r.names(d)
		}
	}
	return nil
}

func (r *reading) function(f *ast.FuncDecl) {
	length := r.set.Position(f.End()).Line - r.set.Position(f.Pos()).Line
	if length > mostFunctionLines {
		r.add(f.Pos(), "%s has %d lines", f.Name.Name, length)
	}
	if f.Name.IsExported() && f.Doc == nil && visible(f) {
		r.add(f.Pos(), "%s has no sentence", f.Name.Name)
	}
}

// visible reports whether a function can be called by its name from another package.
func visible(f *ast.FuncDecl) bool {
	if f.Recv == nil {
		return true
	}
	t := f.Recv.List[0].Type
	if star, ok := t.(*ast.StarExpr); ok {
		t = star.X
	}
	if generic, ok := t.(*ast.IndexExpr); ok {
		t = generic.X
	}
	name, ok := t.(*ast.Ident)
	return ok && name.IsExported()
}

// names looks at exported types, constants and variables; one sentence above a group serves all of it.
func (r *reading) names(g *ast.GenDecl) {
	if g.Doc != nil {
		return
	}
	for _, s := range g.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil {
				r.add(s.Pos(), "%s has no sentence", s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Names[0].IsExported() && s.Doc == nil {
				r.add(s.Pos(), "%s has no sentence", s.Names[0].Name)
			}
		}
	}
}

func TestNewcomersCanRead(t *testing.T) {
	// Files and functions grow a little with each change, until nobody reads
	// them whole any more and the next fault hides there.
	r := &reading{set: token.NewFileSet()}
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		return r.file(path)
	})
	Convey("Files and functions stay short, and each exported name has its sentence", t, func() {
		So(err, ShouldBeNil)
		So(strings.Join(r.found, "\n"), ShouldBeBlank)
	})
}
