package settings

import (
	"fmt"
	"strconv"
	"strings"

	"sparspread/policy"
)

// parser fills the settings from values by their full key.
type parser struct {
	policy.Settings
	host   Host
	values map[string]string
}

// parse sets every field whose key is present. The error is a *KeyError.
func (p *parser) parse() error {
	if err := p.parseTable("", globalKeys); err != nil {
		return err
	}
	if err := p.parseList(classList, classKeys, p.addClass); err != nil {
		return err
	}
	return p.parseList(planList, planKeys, p.addPlan)
}

// addClass adds a class, which the setters of classKeys then fill.
func (p *parser) addClass() {
	p.Classes = append(p.Classes, policy.Class{})
	p.host.Classes = append(p.host.Classes, "")
	p.host.ClientTimeouts = append(p.host.ClientTimeouts, 0)
}

// addPlan adds a plan, which the setters of planKeys then fill.
func (p *parser) addPlan() {
	p.Plans = append(p.Plans, policy.Plan{ValueFactor: 1})
	p.host.Plans = append(p.host.Plans, "")
}

// parseTable sets the fields of a table whose keys are present.
func (p *parser) parseTable(prefix string, table map[string]fieldSetter) error {
	for key, set := range table {
		value, ok := p.values[prefix+key]
		if !ok {
			continue
		}
		if err := set(p, value); err != nil {
			return valueError(prefix+key, value, err)
		}
	}
	return nil
}

// parseList adds the items of a list and sets the fields of each.
func (p *parser) parseList(list string, table map[string]fieldSetter, addItem func()) error {
	count, err := p.countItems(list)
	if err != nil {
		return err
	}
	for i := range count {
		addItem()
		if err := p.parseTable(itemKey(list, i, ""), table); err != nil {
			return err
		}
	}
	return nil
}

// countItems reads the length of a list. Each item has at least one value, which bounds what is allocated for
// a count that is wrong.
func (p *parser) countItems(list string) (int, error) {
	key := countKey(list)
	value, ok := p.values[key]
	if !ok {
		return 0, MissingKey(key)
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 0 || count > len(p.values) {
		return 0, &KeyError{Key: key, Value: value, Err: fmt.Errorf("value %q %w", value, errInvalidCount)}
	}
	return count, nil
}

// countKey is the key of a list's length.
func countKey(list string) string { return list + ".count" }

// itemKey is the key of a field of a list's item; without a field, the prefix of all its keys.
func itemKey(list string, item int, field string) string {
	return fmt.Sprintf("%s.%d.%s", list, item, field)
}

// checkPositive checks the values that must be above 0 where they are present: otherwise nothing can be
// served.
func checkPositive(values map[string]string) error {
	for key, value := range values {
		field := key[strings.LastIndexByte(key, '.')+1:]
		if !positiveKeys[field] {
			continue
		}
		if n, err := strconv.ParseInt(value, 10, 64); err != nil || n <= 0 {
			return valueError(key, value, errNotPositive)
		}
	}
	return nil
}

// presentKeys returns the keys that are present. A key of a list's items stands in it once, as LIST.*.KEY,
// and only if all items have it.
func presentKeys(values map[string]string) map[string]bool {
	keys := map[string]bool{}
	for key := range values {
		keys[key] = true
	}
	collapseItemKeys(keys, values[countKey(classList)], classList, classKeys)
	collapseItemKeys(keys, values[countKey(planList)], planList, planKeys)
	return keys
}

// generalizeItems replaces the keys of a list's items by those that all items have.
func collapseItemKeys(keys map[string]bool, countText, list string, table map[string]fieldSetter) {
	count, err := strconv.Atoi(countText)
	if err != nil {
		count = 0 // the parser reports it
	}
	for field := range table {
		if allItemsHaveField(keys, list, count, field) {
			keys[list+".*."+field] = true
		}
	}
	for key := range keys {
		rest, ok := strings.CutPrefix(key, list+".")
		if ok && rest[0] >= '0' && rest[0] <= '9' {
			delete(keys, key)
		}
	}
}

// allItemsHave reports whether a list has items and each has the field.
func allItemsHaveField(keys map[string]bool, list string, count int, field string) bool {
	for i := range count {
		if !keys[itemKey(list, i, field)] {
			return false
		}
	}
	return count > 0
}
