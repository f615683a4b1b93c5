package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// operationsPage is the page that lists the log messages: they are in the first column of the tables whose
// header begins with messageColumnHeader.
const (
	operationsPage      = "operations.md"
	messageColumnHeader = "| log line |"
)

// loggingFolders contain the packages of the deployed programs, whose log messages the page lists.
var loggingFolders = []string{"../cmd", "../internal", "../policy"}

// messageArgumentIndex maps the name of a log method to the index of the message among its arguments.
var messageArgumentIndex = map[string]int{
	"Debug": 0, "Info": 0, "Warn": 0, "Error": 0, "Log": 0, // Log is a method of policy.Actions
	"LogAttrs": 2,
}

var (
	leadingCodeSpan = regexp.MustCompile("^\\| `([^`]+)`")
	snakeCaseName   = regexp.MustCompile(`^[a-z]+(?:_[a-z]+)+$`)
	jsonTag         = regexp.MustCompile(`json:"(\w+)`)
	// lowercasePhrase matches code spans of several lower-case words, which are log messages.
	lowercasePhrase = regexp.MustCompile(`^[a-z][a-z:,]*(?: [a-z:,]+)+$`)
	// exitMessages are phrases on the page that the process prints when it exits, and does not log.
	exitMessages = []string{"limit of open files", "too many open files"}
)

// Every log message that the page lists or mentions is logged with the same words, and the page lists every
// message that is logged.
func TestOperationsPageListsLogMessages(t *testing.T) {
	logged := indexSource(t, loggingFolders).messages()
	listed := firstColumnCodeSpans(t, readPage(t, operationsPage), messageColumnHeader)
	for _, message := range listed {
		if !slices.Contains(logged, message) {
			t.Errorf("%s: lists %q, which is not logged", operationsPage, message)
		}
	}
	for _, message := range logged {
		if !slices.Contains(listed, message) {
			t.Errorf("%s: does not list %q", operationsPage, message)
		}
	}
	for _, span := range codeSpans(t, operationsPage) {
		isPhrase := lowercasePhrase.MatchString(span) && !slices.Contains(exitMessages, span)
		if isPhrase && !slices.Contains(logged, span) {
			t.Errorf("%s: mentions %q, which is not logged", operationsPage, span)
		}
	}
}

// Every key of the log, the metrics and the configuration that the page names exists in the source code.
func TestOperationsPageNamesOnlyExistingKeys(t *testing.T) {
	source := indexSource(t, loggingFolders)
	checked := 0
	for _, span := range codeSpans(t, operationsPage) {
		if !snakeCaseName.MatchString(span) {
			continue
		}
		checked++
		if !source.hasKey(span) {
			t.Errorf("%s: key %s is not in the source code", operationsPage, span)
		}
	}
	if checked == 0 {
		t.Errorf("%s: names no keys, want at least one", operationsPage)
	}
}

func TestSourceIndexFindsMessagesAndKeys(t *testing.T) {
	const program = `package p
const message = "message constant"
func f(log *slog.Logger, actions Actions, line string) {
	log.With("key", 1).Info("plain", "peer_key", 2)
	log.LogAttrs(ctx, slog.LevelInfo, "with attributes")
	actions.Log(message, attributes...)
	actions.Log(line)
	math.Log(2)
	fail("dial_" + "refused")
}
type config struct { Listen string ` + "`json:\"peer_listen\"`" + ` }`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", program, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	source := newSourceIndex()
	source.addFile(".", file)
	want := []string{"message constant", "plain", "with attributes"}
	if got := source.messages(); !slices.Equal(got, want) {
		t.Errorf("messages %q, want %q", got, want)
	}
	for key, exists := range map[string]bool{
		"peer_key": true, "dial_refused": true, "peer_listen": true, "dial_reset": false,
	} {
		if source.hasKey(key) != exists {
			t.Errorf("key %s: found %t, want %t", key, !exists, exists)
		}
	}
}

// sourceIndex holds the log calls of the parsed packages, the declarations that resolve their arguments, and
// all string literals.
type sourceIndex struct {
	constants          map[string]string        // values of string constants, by FOLDER.NAME
	attributeFunctions map[string]*ast.FuncDecl // functions and methods returning attributes, by FOLDER.NAME
	stringLiterals     map[string]bool          // including the names in JSON tags
	logCalls           []logCall
}

// logCall is a call of a log method.
type logCall struct {
	folder     string
	message    ast.Expr
	attributes []ast.Expr // arguments after the message
}

func newSourceIndex() *sourceIndex {
	return &sourceIndex{
		constants:          map[string]string{},
		attributeFunctions: map[string]*ast.FuncDecl{},
		stringLiterals:     map[string]bool{},
	}
}

// indexSource parses the Go files below the folders, except tests.
func indexSource(t *testing.T, folders []string) *sourceIndex {
	t.Helper()
	s := newSourceIndex()
	for _, folder := range folders {
		err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return fmt.Errorf("parse %s: %w", path, err)
			}
			s.addFile(filepath.Dir(path), file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func (s *sourceIndex) addFile(folder string, file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ValueSpec:
			s.addConstants(folder, node)
		case *ast.FuncDecl:
			if returnsAttributes(node) {
				s.attributeFunctions[folder+"."+node.Name.Name] = node
			}
		case *ast.CallExpr:
			s.addCall(folder, node)
		case *ast.BasicLit:
			s.addLiteral(node)
		}
		return true
	})
}

func (s *sourceIndex) addConstants(folder string, spec *ast.ValueSpec) {
	for i, value := range spec.Values {
		if text, ok := stringValue(value); ok && i < len(spec.Names) {
			s.constants[folder+"."+spec.Names[i].Name] = text
		}
	}
}

func (s *sourceIndex) addCall(folder string, call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if i, ok := messageArgumentIndex[selector.Sel.Name]; ok && i < len(call.Args) {
		s.logCalls = append(s.logCalls, logCall{folder, call.Args[i], call.Args[i+1:]})
	}
}

func (s *sourceIndex) addLiteral(literal *ast.BasicLit) {
	text, ok := stringValue(literal)
	if !ok {
		return
	}
	s.stringLiterals[text] = true
	if tag := jsonTag.FindStringSubmatch(text); tag != nil {
		s.stringLiterals[tag[1]] = true
	}
}

// stringValue returns the value of a string literal. It returns false for any other expression.
func stringValue(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// messages returns the constant messages of the log calls, sorted and without duplicates. A call whose
// message is not constant is in a wrapper, whose callers pass the constant.
func (s *sourceIndex) messages() []string {
	var messages []string
	for _, call := range s.logCalls {
		if text, ok := s.constantMessage(call); ok {
			messages = append(messages, text)
		}
	}
	slices.Sort(messages)
	return slices.Compact(messages)
}

// constantMessage returns the message of a log call. It returns false if the message is not constant.
func (s *sourceIndex) constantMessage(call logCall) (string, bool) {
	return s.constantString(call.folder, call.message, nil)
}

// hasKey reports whether a key is a string literal of the source code, or the concatenation of two: a prefix
// that ends in "_", and the rest.
func (s *sourceIndex) hasKey(key string) bool {
	if s.stringLiterals[key] {
		return true
	}
	for i, letter := range key {
		if letter == '_' && s.stringLiterals[key[:i+1]] && s.stringLiterals[key[i+1:]] {
			return true
		}
	}
	return false
}

// firstColumnCodeSpans returns the code spans in the first column of the tables whose header line begins with
// header. The first cell of each row must begin with a code span.
func firstColumnCodeSpans(t *testing.T, page, header string) []string {
	t.Helper()
	var spans []string
	inTable := false
	for line := range strings.SplitSeq(page, "\n") {
		switch {
		case strings.HasPrefix(line, header):
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case inTable && !strings.HasPrefix(line, "| ---"):
			if !leadingCodeSpan.MatchString(line) {
				t.Errorf("%s: row does not begin with a code span: %s", operationsPage, line)
				continue
			}
			cell, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
			for _, match := range codeSpan.FindAllStringSubmatch(cell, -1) {
				spans = append(spans, match[1])
			}
		}
	}
	return spans
}

// codeSpans returns the texts of all code spans on a page.
func codeSpans(t *testing.T, page string) []string {
	t.Helper()
	var spans []string
	for _, match := range codeSpan.FindAllStringSubmatch(readPage(t, page), -1) {
		spans = append(spans, match[1])
	}
	return spans
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
