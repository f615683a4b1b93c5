package results

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// maxLineSize is the maximum size of one result in bytes. It limits the memory that a malformed file can use.
const maxLineSize = 4 << 20

// errNoResults reports that a file contains no results.
var errNoResults = errors.New("none")

// Append writes a result as one line of JSON.
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

// ReadFile reads the results in a file. It returns an error if there are none.
func ReadFile(path string) ([]*Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer func() { _ = file.Close() }() // safe to ignore: the file is only read
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
