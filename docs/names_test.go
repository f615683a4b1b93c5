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

// checkedPages are the pages in which every name of code has to exist.
var checkedPages = []string{
	"../README.md", "../CONTRIBUTING.md",
	"ARCHITECTURE.md", "design.md", "CAPACITY.md", "operations.md", "open-points.md",
}

// declarations holds what the packages of the module declare.
type declarations struct {
	qualified   map[string]bool // "package.Name" and "package.Type.Member"
	unqualified map[string]bool // the same without package and type
	packages    map[string]bool
	tests       map[string]bool // tests and benchmarks, by name
	logKeys     map[string]bool // keys of the decisions' log events, those of a group as GROUP.KEY
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
					t.Errorf("%s:%d: %s does not exist", page, i+1, missing)
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

// missingIn returns the names of code and the paths in a line that do not exist.
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

// isMissing reports whether a quoted text is a path or a name in camel case that does not exist.
func (d declarations) isMissingReference(span string) bool {
	if repositoryPath.MatchString(span) {
		return !pathExists(span)
	}
	return camelCaseName.MatchString(span) && !d.unqualified[span]
}

// isFileExtension reports whether a dot separates a file's name from its extension.
func isFileExtension(name string) bool {
	return slices.Contains([]string{"go", "json", "md", "toml"}, name)
}

// pathExists reports whether a path, from the module's root or a file name alone, is in the repository. That
// of a program that the build puts into bin is, if the program's source is.
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

// declaredIn parses the files below a folder.
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

// add adds a name of a package, and members of it where it is a type.
func (d declarations) addDeclaration(pkg, name string, members ...string) {
	d.qualified[pkg+"."+name], d.unqualified[name] = true, true
	for _, member := range members {
		d.qualified[pkg+"."+name+"."+member], d.unqualified[member] = true, true
	}
}

// addLogKeys adds keys of a log event.
func (d declarations) addLogKeys(keys []string) {
	for _, key := range keys {
		d.logKeys[key] = true
	}
}

// addTests adds the tests and benchmarks of a file.
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

// membersOf returns the names of a struct's fields or an interface's methods.
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

// receiverType returns the name of a method's receiver type.
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
