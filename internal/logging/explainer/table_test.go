package explainer_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readLogTable returns the keys that docs/LOGS.md lists for each log message.
func readLogTable(t *testing.T) map[string][]string {
	t.Helper()
	text, err := os.ReadFile("../../../docs/LOGS.md")
	assert.NilError(t, err)
	table := make(map[string][]string)
	for line := range strings.Lines(string(text)) {
		columns := strings.Split(line, "|")
		if len(columns) < 5 || !strings.HasPrefix(strings.TrimSpace(columns[1]), "`") {
			continue
		}
		name := strings.Trim(strings.TrimSpace(columns[1]), "`")
		table[name] = strings.Split(strings.ReplaceAll(strings.TrimSpace(columns[3]), " ", ""), ",")
	}
	return table
}

// TestLogTableMatchesCode checks that every message and key logged by the daemons of the
// users' platform is in the table, and that every message in the table is logged.
func TestLogTableMatchesCode(t *testing.T) {
	table := readLogTable(t)
	seen := make(map[string]bool)
	for _, root := range []string{"internal/gateway", "internal/routing", "internal/state", "internal/fleet", "internal/weights", "internal/cache", "platform"} {
		err := filepath.WalkDir(filepath.Join("../../..", root), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					checkLoggerCall(t, path, call, table, seen)
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	for name := range table {
		assert.Check(t, seen[name], "%q is in the table and not in the code", name)
	}
}

// checkLoggerCall checks that the message and keys of a logger call are in the table, and
// adds the message to seen. It ignores calls of other functions.
func checkLoggerCall(t *testing.T, path string, call *ast.CallExpr, table map[string][]string, seen map[string]bool) {
	t.Helper()
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, selector.Sel.Name) || len(call.Args) == 0 {
		return
	}
	name, ok := stringLiteral(call.Args[0])
	if !ok || !strings.HasSuffix(name, ".") {
		return
	}
	seen[name] = true
	keys, found := table[name]
	assert.Check(t, found, "%s: %q is not in the table", path, name)
	if call.Ellipsis.IsValid() {
		return
	}
	for i := 1; i < len(call.Args); i += 2 {
		key, ok := stringLiteral(call.Args[i])
		assert.Check(t, ok && slices.Contains(keys, key), "%s: key %q of %q is not in the table", path, key, name)
	}
}

// stringLiteral returns the value of an expression if it is a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(lit.Value)
	return value, err == nil
}
