package settings

import "strconv"

// fieldSetter parses a value and sets the field that its key stands for.
type fieldSetter func(p *parser, value string) error

// integer sets a number, or a time in microseconds.
func integer[T ~int | ~int64](field func(*parser) *T) fieldSetter {
	return func(p *parser, value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return err
		}
		*field(p) = T(n)
		return nil
	}
}

// float sets a number that may have a fraction.
func float(field func(*parser) *float64) fieldSetter {
	return func(p *parser, value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		*field(p) = f
		return nil
	}
}

// boolean sets a switch.
func boolean(field func(*parser) *bool) fieldSetter {
	return func(p *parser, value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return err
		}
		*field(p) = b
		return nil
	}
}

// text sets a value as it is written.
func text(field func(*parser) *string) fieldSetter {
	return func(p *parser, value string) error {
		*field(p) = value
		return nil
	}
}

// name sets a name in the settings and in the host's list.
func name(fields func(*parser) (host, settings *string)) fieldSetter {
	return func(p *parser, value string) error {
		host, settings := fields(p)
		*host, *settings = value, value
		return nil
	}
}

// enum sets the value that a word stands for.
func enum[V any](valuesByName map[string]V, field func(*parser) *V) fieldSetter {
	return func(p *parser, value string) error {
		enumValue, ok := valuesByName[value]
		if !ok {
			return errUnknownValue
		}
		*field(p) = enumValue
		return nil
	}
}
