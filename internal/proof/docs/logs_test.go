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

// logLine is one log statement of the daemon, with the fields that are set in the same expression.
type logLine struct {
	place, message string
	fields         []string
}

// levels are the log methods whose lines are written without -log-level debug.
var levels = []string{"Info", "Warn", "Error"}

// logLinesOf returns the log statements of a source file.
func logLinesOf(t *testing.T, path string) []logLine {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var all []logLine
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		message, isText := stringLiteral(call.Args[0])
		if ok && isText && slices.Contains(levels, method.Sel.Name) {
			all = append(all, logLine{files.Position(call.Pos()).String(), message, fieldsOf(method.X)})
		}
		return true
	})
	return all
}

func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// fieldsOf returns the fields that the calls before the log method add to the entry.
func fieldsOf(entry ast.Expr) []string {
	var fields []string
	ast.Inspect(entry, func(n ast.Node) bool {
		switch e := n.(type) {
		case *ast.KeyValueExpr:
			if name, ok := stringLiteral(e.Key); ok {
				fields = append(fields, name)
			}
		case *ast.CallExpr:
			method, ok := e.Fun.(*ast.SelectorExpr)
			switch {
			case ok && method.Sel.Name == "WithField":
				name, _ := stringLiteral(e.Args[0])
				fields = append(fields, name)
			case ok && method.Sel.Name == "WithError":
				fields = append(fields, "error")
			}
		}
		return true
	})
	return fields
}

func TestEveryLogLineIsDocumented(t *testing.T) {
	// Without this, a log line can be added or changed that operators can't look
	// up in the documentation.
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
		for _, l := range logLinesOf(t, path) {
			count++
			if !documented(rows, l) {
				missing = append(missing, l.place+": "+l.message+" "+strings.Join(l.fields, ", "))
			}
		}
	}
	Convey("The operations page describes each log line with its fields", t, func() {
		So(count, ShouldBeGreaterThan, 10)
		So(missing, ShouldBeEmpty)
	})
}

// documented reports whether one row of the page's tables has the message and all its fields.
func documented(rows []string, l logLine) bool {
	return slices.ContainsFunc(rows, func(row string) bool {
		cells := strings.Split(row, "|")
		if len(cells) < 5 || !strings.Contains(cells[1], "`"+l.message+"`") {
			return false
		}
		return !slices.ContainsFunc(l.fields, func(field string) bool { return !strings.Contains(cells[3], "`"+field+"`") })
	})
}
