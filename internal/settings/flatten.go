package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// flatten converts nested JSON into the keys and values of the simulator's form, so that both forms share
// the same table of keys.
func flatten(raw []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps numbers as written
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	flattenInto(values, "", tree)
	return values, nil
}

// flattenInto adds the values of the node with the key path, and of all nodes below it.
func flattenInto(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			flattenInto(values, joinPath(path, key), child)
		}
	case []any:
		flattenList(values, path, node)
	default:
		values[path] = formatScalar(node)
	}
}

// flattenList adds a list of scalars as one value, and a list of objects or lists as its items and their
// count. It adds an empty list in both forms, because its key may stand for either.
func flattenList(values map[string]string, path string, list []any) {
	var scalars []string
	for i, child := range list {
		switch child.(type) {
		case map[string]any, []any:
			flattenInto(values, joinPath(path, strconv.Itoa(i)), child)
		default:
			scalars = append(scalars, formatScalar(child))
		}
	}
	if len(scalars) < len(list) || len(list) == 0 {
		values[countKey(path)] = strconv.Itoa(len(list))
	}
	if len(scalars) == len(list) {
		values[path] = strings.Join(scalars, ",")
	}
}

// joinPath returns the key of a child. The path of the root is empty.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// formatScalar formats a scalar as the simulator does, null as the empty string.
func formatScalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
