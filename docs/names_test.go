// Package docs checks the project's pages against its code.
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
	"strings"
	"testing"
)

// checkedPages are the pages on which every identifier and path must exist in the repository.
var checkedPages = []string{
	"../README.md", "../CONTRIBUTING.md",
	"ARCHITECTURE.md", "design.md", "CAPACITY.md", "operations.md", "open-points.md",
}

// declarations holds the names that the packages of the module declare, and the log keys that pages may name.
type declarations struct {
	qualified   map[string]bool // "package.Name" and "package.Type.Member"
	unqualified map[string]bool // "Name" and "Member"
	packages    map[string]bool
	tests       map[string]bool // names of tests and benchmarks
	logKeys     map[string]bool // attribute keys that package policy logs; a key in a group as GROUP.KEY
}

func newDeclarations() declarations {
	return declarations{
		qualified: map[string]bool{}, unqualified: map[string]bool{},
		packages: map[string]bool{}, tests: map[string]bool{}, logKeys: map[string]bool{},
	}
}

var (
	qualifiedName  = regexp.MustCompile(`\b([a-z]\w*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?`)
	camelCaseName  = regexp.MustCompile(`^[a-z]+[A-Z]\w*$`)
	testName       = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w+`)
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	repositoryPath = regexp.MustCompile(`^\.?[\w-]+(/[\w.-]+)+/?$|^[\w-]+\.(go|md|toml)$`)
)

func TestPagesNameOnlyExistingCode(t *testing.T) {
	declared := parseDeclarations(t, "..")
	for _, keys := range policyEventKeys(t) {
		declared.addLogKeys(keys)
	}
	for _, page := range checkedPages {
		t.Run(page, func(t *testing.T) {
			raw, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(raw), "\n") {
				for _, missing := range declared.missingReferences(line) {
					t.Errorf("%s:%d: %s does not exist in the repository", page, i+1, missing)
				}
			}
		})
	}
}

func TestMissingReferencesFindsUnknownNames(t *testing.T) {
	declared := newDeclarations()
	declared.packages["policy"] = true
	declared.addDeclaration("policy", "Controller", "Reload")
	declared.tests["TestHere"] = true
	declared.addLogKeys([]string{"policy.key"})
	line := "`policy.Controller.Reload`, policy.Gone, policy.Controller.Gone, limits.sockets, " +
		"policy.json, `gone/file.go`, `names_test.go`, `bin/gone`, `bin/gateway`, " +
		"`goneFunction`, TestHere, TestGone, policy.key, policy.gone_key"
	want := []string{
		"policy.Gone", "policy.Controller.Gone", "policy.gone_key", "gone/file.go", "bin/gone",
		"goneFunction", "TestGone",
	}
	if got := declared.missingReferences(line); !slices.Equal(got, want) {
		t.Errorf("missing %q, want %q", got, want)
	}
}

// missingReferences returns the identifiers and paths in a line of a page that do not exist.
func (d declarations) missingReferences(line string) []string {
	var missing []string
	for _, match := range qualifiedName.FindAllStringSubmatch(line, -1) {
		pkg, name, member := match[1], match[2], match[3]
		if !d.packages[pkg] || isFileExtension(name) {
			continue
		}
		fullName := pkg + "." + name
		if member != "" {
			fullName += "." + member
		}
		if !d.qualified[fullName] && !d.logKeys[fullName] {
			missing = append(missing, fullName)
		}
	}
	for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
		if d.isMissingReference(match[1]) {
			missing = append(missing, match[1])
		}
	}
	for _, name := range testName.FindAllString(line, -1) {
		if !d.tests[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// isMissingReference reports whether a code span is a path or a camel-case identifier that does not exist.
func (d declarations) isMissingReference(span string) bool {
	if repositoryPath.MatchString(span) {
		return !pathExists(span)
	}
	return camelCaseName.MatchString(span) && !d.unqualified[span]
}

// isFileExtension reports whether a name after a dot is a file extension, and so not an identifier.
func isFileExtension(name string) bool {
	return slices.Contains([]string{"go", "json", "md", "toml"}, name)
}

// pathExists reports whether a path exists in the repository. The path is relative to the root of the module;
// a file name alone may be in any folder. For a program in bin/, which the build creates, the source code of
// the program must exist.
func pathExists(path string) bool {
	if program, isBuilt := strings.CutPrefix(path, "bin/"); isBuilt {
		return pathExists("cmd/"+program) || pathExists("deploy/example/"+program)
	}
	if _, err := os.Stat(filepath.Join("..", path)); err == nil {
		return true
	}
	if strings.Contains(path, "/") {
		return false
	}
	found := false
	_ = filepath.WalkDir("..", func(file string, entry fs.DirEntry, err error) error {
		found = found || err == nil && entry.Name() == path
		return nil
	})
	return found
}

// parseDeclarations parses the Go files below a folder.
func parseDeclarations(t *testing.T, root string) declarations {
	t.Helper()
	d := newDeclarations()
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return fmt.Errorf("parse %s: %w", path, err)
		}
		if strings.HasSuffix(path, "_test.go") {
			d.addTests(file)
		} else {
			d.addFile(file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// addDeclaration adds a name that a package declares. If it is a type, members are its fields and methods.
func (d declarations) addDeclaration(pkg, name string, members ...string) {
	d.qualified[pkg+"."+name], d.unqualified[name] = true, true
	for _, member := range members {
		d.qualified[pkg+"."+name+"."+member], d.unqualified[member] = true, true
	}
}

func (d declarations) addLogKeys(keys []string) {
	for _, key := range keys {
		d.logKeys[key] = true
	}
}

// addTests adds the names of the tests and benchmarks in a file.
func (d declarations) addTests(file *ast.File) {
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && testName.MatchString(function.Name.Name) {
			d.tests[function.Name.Name] = true
		}
	}
}

func (d declarations) addFile(file *ast.File) {
	pkg := file.Name.Name
	d.packages[pkg] = true
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv == nil {
				d.addDeclaration(pkg, declaration.Name.Name)
			} else {
				d.addDeclaration(pkg, receiverTypeName(declaration.Recv.List[0].Type), declaration.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

func (d declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.addDeclaration(pkg, name.Name)
		}
	case *ast.TypeSpec:
		d.addDeclaration(pkg, spec.Name.Name, memberNames(spec.Type)...)
	}
}

// memberNames returns the names of the fields of a struct type or of the methods of an interface type.
func memberNames(expression ast.Expr) []string {
	var list *ast.FieldList
	switch expression := expression.(type) {
	case *ast.StructType:
		list = expression.Fields
	case *ast.InterfaceType:
		list = expression.Methods
	default:
		return nil
	}
	var names []string
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// receiverTypeName returns the name of the type of a method's receiver.
func receiverTypeName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiverTypeName(expression.X)
	case *ast.IndexExpr:
		return receiverTypeName(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}
