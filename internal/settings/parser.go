package settings

import (
	"fmt"
	"strconv"
	"strings"

	"sparspread/policy"
)

// parser sets the settings from a map of keys to values. A key includes the keys of the tables and the
// indices of the lists that it is in.
type parser struct {
	policy.Settings
	host   Host
	values map[string]string
}

// parse sets each field whose key is present. It returns a *KeyError if a value is invalid.
func (p *parser) parse() error {
	if err := p.parseTable("", globalKeys); err != nil {
		return err
	}
	if err := p.parseList(classList, classKeys, p.addClass); err != nil {
		return err
	}
	return p.parseList(planList, planKeys, p.addPlan)
}

// addClass appends a class, whose fields are then set by the setters in classKeys.
func (p *parser) addClass() {
	p.Classes = append(p.Classes, policy.Class{})
	p.host.Classes = append(p.host.Classes, "")
	p.host.ClientTimeouts = append(p.host.ClientTimeouts, 0)
}

// addPlan appends a plan, whose fields are then set by the setters in planKeys.
func (p *parser) addPlan() {
	p.Plans = append(p.Plans, policy.Plan{ValueFactor: 1})
	p.host.Plans = append(p.host.Plans, "")
}

// parseTable sets each field of a table if its key, preceded by the prefix, is present.
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

// parseList adds the items of a list and sets their fields.
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

// countItems parses the length of a list. It rejects a length above the number of values, because each item
// has at least one value; this bounds the memory that is allocated for a wrong length.
func (p *parser) countItems(list string) (int, error) {
	key := countKey(list)
	value, ok := p.values[key]
	if !ok {
		return 0, MissingKey(key)
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 0 || count > len(p.values) {
		return 0, &KeyError{Key: key, Value: value, Err: fmt.Errorf("%q: %w", value, errInvalidCount)}
	}
	return count, nil
}

// countKey returns the key of a list's length.
func countKey(list string) string { return list + ".count" }

// itemKey returns the key of a field of a list item. If field is empty, it returns the prefix of the item's
// keys.
func itemKey(list string, item int, field string) string {
	return fmt.Sprintf("%s.%d.%s", list, item, field)
}

// checkPositive returns an error if a value of positiveKeys is not above 0, because no request could be
// served with it.
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

// presentKeys returns the set of keys that are present. Instead of the keys of each list item, it contains
// LIST.*.KEY for each KEY that all items of the list have.
func presentKeys(values map[string]string) map[string]bool {
	keys := map[string]bool{}
	for key := range values {
		keys[key] = true
	}
	collapseItemKeys(keys, values[countKey(classList)], classList, classKeys)
	collapseItemKeys(keys, values[countKey(planList)], planList, planKeys)
	return keys
}

// collapseItemKeys replaces the keys of a list's items by one key for each field that all items have.
func collapseItemKeys(keys map[string]bool, countText, list string, table map[string]fieldSetter) {
	count, err := strconv.Atoi(countText)
	if err != nil {
		count = 0 // parse reports the error
	}
	for field := range table {
		if allItemsHaveField(keys, list, count, field) {
			keys[list+".*."+field] = true
		}
	}
	for key := range keys {
		rest, ok := strings.CutPrefix(key, list+".")
		if ok && rest != "" && rest[0] >= '0' && rest[0] <= '9' {
			delete(keys, key)
		}
	}
}

// allItemsHaveField reports whether a list is not empty and each of its items has the field.
func allItemsHaveField(keys map[string]bool, list string, count int, field string) bool {
	for i := range count {
		if !keys[itemKey(list, i, field)] {
			return false
		}
	}
	return count > 0
}
