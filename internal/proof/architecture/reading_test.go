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

// Maximum lengths in lines, set by what a reader can follow on a screen.
const (
	maxFileLines     = 400
	maxFunctionLines = 60
)

// styleCheck finds files and functions that are too long and exported names without a doc comment.
type styleCheck struct {
	files *token.FileSet
	found []string
}

func (c *styleCheck) report(at token.Pos, format string, args ...any) {
	position := c.files.Position(at)
	c.found = append(c.found, fmt.Sprintf("%s:%d: %s", position.Filename, position.Line, fmt.Sprintf(format, args...)))
}

func (c *styleCheck) checkFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	parsed, err := parser.ParseFile(c.files, path, raw, parser.ParseComments)
	if err != nil || ast.IsGenerated(parsed) {
		return err
	}
	if lines := bytes.Count(raw, []byte("\n")); lines > maxFileLines {
		c.report(parsed.Pos(), "%d lines in one file", lines)
	}
	for _, d := range parsed.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			c.checkFunction(d)
		case *ast.GenDecl:
			c.checkDeclaration(d)
		}
	}
	return nil
}

func (c *styleCheck) checkFunction(f *ast.FuncDecl) {
	length := c.files.Position(f.End()).Line - c.files.Position(f.Pos()).Line
	if length > maxFunctionLines {
		c.report(f.Pos(), "%s has %d lines", f.Name.Name, length)
	}
	if f.Name.IsExported() && f.Doc == nil && callableByName(f) {
		c.report(f.Pos(), "%s has no doc comment", f.Name.Name)
	}
}

// callableByName reports whether a function can be called by its name from another package.
func callableByName(f *ast.FuncDecl) bool {
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

// checkDeclaration checks the doc comments of exported types, constants and variables; one above a group covers all of it.
func (c *styleCheck) checkDeclaration(g *ast.GenDecl) {
	if g.Doc != nil {
		return
	}
	for _, s := range g.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil {
				c.report(s.Pos(), "%s has no doc comment", s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Names[0].IsExported() && s.Doc == nil {
				c.report(s.Pos(), "%s has no doc comment", s.Names[0].Name)
			}
		}
	}
}

func TestLengthsAndDocComments(t *testing.T) {
	// Files and functions grow a little with each change, until they are too
	// long to be reviewed as a whole and faults go unnoticed.
	c := &styleCheck{files: token.NewFileSet()}
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		return c.checkFile(path)
	})
	Convey("Files and functions are short, and each exported name has a doc comment", t, func() {
		So(err, ShouldBeNil)
		So(strings.Join(c.found, "\n"), ShouldBeBlank)
	})
}
