package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// constants returns the string constants of a file of this package, by name.
func constants(t *testing.T, file string) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	is.New(t).NoErr(err)
	found := make(map[string]string)
	ast.Inspect(parsed, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) == 0 {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		is.New(t).NoErr(err)
		found[spec.Names[0].Name] = value
		return true
	})
	return found
}

// docs/OPERATIONS.md has to list every event and key.
func TestEventsAndKeysAreListedForOperators(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	is.New(t).NoErr(err)
	for _, file := range []string{"event.go", "keys.go"} {
		for name, value := range constants(t, file) {
			if !strings.Contains(string(page), "`"+value+"`") {
				t.Errorf("docs/OPERATIONS.md does not list %s, %q", name, value)
			}
		}
	}
}

// loggers are the packages of lilacweir-edge that log.
var loggers = []string{"pkg/edge", "pkg/origin", "pkg/peer", "pkg/mirror", "pkg/logging", "platform", "platform/cmd/lilacweir-edge"}

// fieldMethods are the methods of a log event whose first argument is a key.
var fieldMethods = map[string]bool{
	"Str": true, "Int": true, "Int64": true, "Uint64": true, "Float64": true, "Bool": true, "Dur": true, "AnErr": true, "Msg": true,
}

// Parsers of the log know only the constants of this package.
func TestEventsAndKeysAreNotStringLiterals(t *testing.T) {
	for _, directory := range loggers {
		files, err := filepath.Glob(filepath.Join("..", "..", directory, "*.go"))
		is.New(t).NoErr(err)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") && filepath.Base(file) != "logging.go" {
				checkFile(t, file)
			}
		}
	}
}

func checkFile(t *testing.T, file string) {
	t.Helper()
	set := token.NewFileSet()
	parsed, err := parser.ParseFile(set, file, nil, 0)
	is.New(t).NoErr(err)
	ast.Inspect(parsed, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !fieldMethods[method.Sel.Name] {
			return true
		}
		if literal, ok := call.Args[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			t.Errorf("%s: %s(%s): use a constant of pkg/event", set.Position(call.Pos()), method.Sel.Name, literal.Value)
		}
		return true
	})
}
