package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// line is one log line of the daemon's code, with the fields that are named where it is written.
type line struct {
	place, message string
	fields         []string
}

// levels are the log's methods whose lines operators see without -log-level debug.
var levels = []string{"Info", "Warn", "Error"}

// linesOf returns the log lines that a source file writes.
func linesOf(t *testing.T, path string) []line {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var all []line
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		message, isText := text(call.Args[0])
		if ok && isText && slices.Contains(levels, method.Sel.Name) {
			all = append(all, line{files.Position(call.Pos()).String(), message, fieldsOf(method.X)})
		}
		return true
	})
	return all
}

func text(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// fieldsOf returns the fields that the calls before a line's last one add to it.
func fieldsOf(entry ast.Expr) []string {
	var fields []string
	ast.Inspect(entry, func(n ast.Node) bool {
		switch e := n.(type) {
		case *ast.KeyValueExpr:
			if name, ok := text(e.Key); ok {
				fields = append(fields, name)
			}
		case *ast.CallExpr:
			method, ok := e.Fun.(*ast.SelectorExpr)
			switch {
			case ok && method.Sel.Name == "WithField":
				name, _ := text(e.Args[0])
				fields = append(fields, name)
			case ok && method.Sel.Name == "WithError":
				fields = append(fields, "error")
			}
		}
		return true
	})
	return fields
}

func TestOperatorsFindEveryLogLine(t *testing.T) {
	// At night an operator reads a line in the log that no page tells of.
	var files []string
	for _, pattern := range []string{"internal/app/daemon/*.go", "internal/app/router/*.go", "cmd/foxtailhook/*.go"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(string(page), "\n")
	var missing []string
	count := 0
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, l := range linesOf(t, path) {
			count++
			if !told(rows, l) {
				missing = append(missing, l.place+": "+l.message+" "+strings.Join(l.fields, ", "))
			}
		}
	}
	Convey("The page for operators has each log line with its fields", t, func() {
		So(count, ShouldBeGreaterThan, 10)
		So(missing, ShouldBeEmpty)
	})
}

// told reports whether one row of the page's tables names the line and all its fields.
func told(rows []string, l line) bool {
	return slices.ContainsFunc(rows, func(row string) bool {
		cells := strings.Split(row, "|")
		if len(cells) < 5 || !strings.Contains(cells[1], "`"+l.message+"`") {
			return false
		}
		return !slices.ContainsFunc(l.fields, func(field string) bool { return !strings.Contains(cells[3], "`"+field+"`") })
	})
}
