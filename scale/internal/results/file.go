package results

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// maxLineSize bounds what a malformed file makes the reader hold.
const maxLineSize = 4 << 20 // bytes of one result

// errNoResults says that a file has no results.
var errNoResults = errors.New("none")

// Append writes a result as a line.
func Append(out io.Writer, r *Result) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if _, err := out.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// ReadFile reads the results of a file, which must hold one at least.
func ReadFile(path string) ([]*Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer func() { _ = file.Close() }() // only read
	var all []*Result
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		r := &Result{}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil {
			return nil, fmt.Errorf("results: %s: line %d: %w", path, len(all)+1, err)
		}
		all = append(all, r)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("results: %s: %w", path, err)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("results: %s: %w", path, errNoResults)
	}
	return all, nil
}
