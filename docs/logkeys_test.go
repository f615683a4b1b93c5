package docs

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"slices"
	"strings"
	"testing"
)

// The page documents the event countersMessage in a separate section. The tables of the section whose header
// begins with keyColumnHeader list the keys of the event; a key in a group is listed as GROUP.KEY.
const (
	countersMessage = "decision counters"
	countersHeading = "## Decision counters"
	keyColumnHeader = "| key |"
	policyFolder    = "../policy"
)

// The functions of package slog that return an attribute with a single value or with a group of attributes.
var (
	valueConstructors = []string{
		"Any", "Bool", "Duration", "Float64", "Int", "Int64", "String", "Time", "Uint64",
	}
	groupConstructors = []string{"Group", "GroupAttrs"}
)

var (
	errNotAttribute   = errors.New("expected an slog attribute or a list of them")
	errKeyNotConstant = errors.New("expected a constant key")
)

// The tables of the counters section list every key of the event once, and no other key.
func TestOperationsPageListsCounterKeys(t *testing.T) {
	logged := policyEventKeys(t)[countersMessage]
	if len(logged) == 0 {
		t.Fatalf("%q: package policy logs no keys, want at least one", countersMessage)
	}
	listed := firstColumnCodeSpans(t, pageSection(t, operationsPage, countersHeading), keyColumnHeader)
	for _, key := range logged {
		if !slices.Contains(listed, key) {
			t.Errorf("%s: section %q does not list key %s", operationsPage, countersHeading, key)
		}
	}
	for _, key := range listed {
		if !slices.Contains(logged, key) {
			t.Errorf("%s: section %q lists key %s, which is not logged", operationsPage, countersHeading, key)
		}
	}
	if len(slices.Compact(slices.Sorted(slices.Values(listed)))) != len(listed) {
		t.Errorf("%s: section %q lists a key more than once: %q", operationsPage, countersHeading, listed)
	}
}

// For each other event that package policy logs, the row of the event names all its keys.
func TestOperationsPageNamesPolicyEventKeys(t *testing.T) {
	events := policyEventKeys(t)
	if len(events) < 2 {
		t.Fatalf("events %q, want at least two", slices.Collect(maps.Keys(events)))
	}
	page := readPage(t, operationsPage)
	for message, keys := range events {
		if message == countersMessage {
			continue
		}
		_, row, found := strings.Cut(page, "\n| `"+message+"`")
		if !found {
			t.Errorf("%s: no row for event %q", operationsPage, message)
		}
		row, _, _ = strings.Cut(row, "\n")
		for _, key := range keys {
			if !strings.Contains(row, "`"+key+"`") {
				t.Errorf("%s: the row of event %q does not name key %s", operationsPage, message, key)
			}
		}
	}
}

func TestAttributeKeysResolvesGroupsAndFunctions(t *testing.T) {
	const program = `package p
const plainKey = "plain"
func (c *Controller) log(i int) {
	c.actions.Log("grouped", c.counters.flush(i)...)
	c.actions.Log("single", plainAttr(i), slog.String("text", "value"))
	c.actions.Log("unknown", attributes...)
	c.actions.Log("unknown", slog.Other("key", 1))
}
func (n *counters) flush(i int) []slog.Attr {
	attributes := []slog.Attr{slog.Int("total", i), groupAttr("first", i), groupAttr("second", i)}
	return attributes
}
func groupAttr(key string, i int) slog.Attr {
	if key == "first" {
		i++
	}
	return slog.GroupAttrs(key, slog.Int("inner", i), plainAttr(i), slog.Group("of", slog.Bool("bool", true)))
}
func plainAttr(i int) slog.Attr { return slog.Int(plainKey, i) }
func (g *grants) flush(i int) []*request { return nil }
`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", program, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	source := newSourceIndex()
	source.addFile(".", file)
	want := map[string][]string{
		"grouped": {
			"total", "first.inner", "first.plain", "first.of.bool",
			"second.inner", "second.plain", "second.of.bool",
		},
		"single": {"plain", "text"},
	}
	for _, call := range source.logCalls {
		message, _ := stringValue(call.message)
		keys, err := source.attributeKeys(call)
		if !slices.Equal(keys, want[message]) {
			t.Errorf("%s: keys %q, want %q", message, keys, want[message])
		}
		if wantError := message == "unknown"; (err != nil) != wantError {
			t.Errorf("%s: error %v, want one only if an attribute is unknown", message, err)
		}
	}
}

// policyEventKeys returns the attribute keys of each event that package policy logs, by the message of the
// event.
func policyEventKeys(t *testing.T) map[string][]string {
	t.Helper()
	source := indexSource(t, []string{policyFolder})
	events := map[string][]string{}
	for _, call := range source.logCalls {
		message, ok := source.constantMessage(call)
		if !ok {
			continue // a wrapper that passes a message on, or a method that does not log
		}
		keys, err := source.attributeKeys(call)
		if err != nil {
			t.Errorf("%q: %v", message, err)
		}
		events[message] = keys
	}
	return events
}

// attributeKeys returns the keys of the attributes of a log call, in order.
func (s *sourceIndex) attributeKeys(call logCall) ([]string, error) {
	var keys []string
	for _, attribute := range call.attributes {
		attributeKeys, err := s.expressionKeys(call.folder, attribute, nil)
		if err != nil {
			return nil, err
		}
		keys = append(keys, attributeKeys...)
	}
	return keys, nil
}

// expressionKeys returns the keys of an expression that is an attribute or a list of attributes: a call of
// package slog, a call of a function that returns attributes, or a composite literal. The map parameters
// holds the constant arguments of the enclosing function by parameter name.
func (s *sourceIndex) expressionKeys(
	folder string, expression ast.Expr, parameters map[string]string,
) ([]string, error) {
	switch expression := expression.(type) {
	case *ast.CompositeLit:
		return s.expressionListKeys(folder, expression.Elts, parameters)
	case *ast.CallExpr:
		name, inSlog := calleeName(expression)
		if inSlog {
			return s.slogCallKeys(folder, name, expression.Args, parameters)
		}
		if function := s.attributeFunctions[folder+"."+name]; function != nil {
			return s.functionKeys(folder, function, expression.Args, parameters)
		}
	}
	return nil, fmt.Errorf("%w, got %T", errNotAttribute, expression)
}

func (s *sourceIndex) expressionListKeys(
	folder string, expressions []ast.Expr, parameters map[string]string,
) ([]string, error) {
	var keys []string
	for _, expression := range expressions {
		expressionKeys, err := s.expressionKeys(folder, expression, parameters)
		if err != nil {
			return nil, err
		}
		keys = append(keys, expressionKeys...)
	}
	return keys, nil
}

// slogCallKeys returns the key of the attribute that a function of package slog returns. For a group it
// returns the keys of the attributes in the group, as GROUP.KEY.
func (s *sourceIndex) slogCallKeys(
	folder, constructor string, arguments []ast.Expr, parameters map[string]string,
) ([]string, error) {
	key, ok := s.constantString(folder, arguments[0], parameters)
	if !ok {
		return nil, fmt.Errorf("slog.%s: %w", constructor, errKeyNotConstant)
	}
	if slices.Contains(valueConstructors, constructor) {
		return []string{key}, nil
	}
	if !slices.Contains(groupConstructors, constructor) {
		return nil, fmt.Errorf("%w, got slog.%s", errNotAttribute, constructor)
	}
	keys, err := s.expressionListKeys(folder, arguments[1:], parameters)
	for i := range keys {
		keys[i] = key + "." + keys[i]
	}
	return keys, err
}

// functionKeys returns the keys of the attributes that a function returns. They are taken from the first
// assignment or return statement of its body whose value is an attribute or a list of attributes.
func (s *sourceIndex) functionKeys(
	folder string, function *ast.FuncDecl, arguments []ast.Expr, parameters map[string]string,
) ([]string, error) {
	parameterValues := map[string]string{}
	position := 0
	for _, field := range function.Type.Params.List {
		for _, name := range field.Names {
			if text, ok := s.constantString(folder, arguments[position], parameters); ok {
				parameterValues[name.Name] = text
			}
			position++
		}
	}
	for _, statement := range function.Body.List {
		var values []ast.Expr
		switch statement := statement.(type) {
		case *ast.AssignStmt:
			values = statement.Rhs
		case *ast.ReturnStmt:
			values = statement.Results
		}
		if len(values) != 1 {
			continue
		}
		if keys, err := s.expressionKeys(folder, values[0], parameterValues); err == nil {
			return keys, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", function.Name.Name, errNotAttribute)
}

// constantString returns the value of a string literal, of a constant, or of a parameter in the map. It
// returns false if the expression is none of these.
func (s *sourceIndex) constantString(
	folder string, expression ast.Expr, parameters map[string]string,
) (string, bool) {
	name, isName := expression.(*ast.Ident)
	if !isName {
		return stringValue(expression)
	}
	if text, ok := parameters[name.Name]; ok {
		return text, true
	}
	text, ok := s.constants[folder+"."+name.Name]
	return text, ok
}

// returnsAttributes reports whether the only result of a function is an attribute or a list of attributes.
func returnsAttributes(function *ast.FuncDecl) bool {
	results := function.Type.Results
	if results == nil || len(results.List) != 1 {
		return false
	}
	result := results.List[0].Type
	if slice, isSlice := result.(*ast.ArrayType); isSlice {
		result = slice.Elt
	}
	attribute, ok := result.(*ast.SelectorExpr)
	return ok && attribute.Sel.Name == "Attr"
}

// calleeName returns the name of the called function or method, and whether it belongs to package slog.
func calleeName(call *ast.CallExpr) (name string, inSlog bool) {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name, false
	case *ast.SelectorExpr:
		qualifier, isName := function.X.(*ast.Ident)
		return function.Sel.Name, isName && qualifier.Name == "slog"
	}
	return "", false
}

// pageSection returns the part of a page from a heading to the next heading of level 2.
func pageSection(t *testing.T, page, heading string) string {
	t.Helper()
	_, section, found := strings.Cut(readPage(t, page), "\n"+heading+"\n")
	if !found {
		t.Fatalf("%s: no heading %q", page, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	return section
}
