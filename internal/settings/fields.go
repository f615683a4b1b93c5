package settings

import "strconv"

// fieldSetter parses a value and sets the field that corresponds to its key.
type fieldSetter func(p *parser, value string) error

// integer returns a setter for an integer or for a time in microseconds.
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

// float returns a setter for a floating-point number.
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

// boolean returns a setter for a Boolean.
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

// text returns a setter for a string, which it sets as written.
func text(field func(*parser) *string) fieldSetter {
	return func(p *parser, value string) error {
		*field(p) = value
		return nil
	}
}

// name returns a setter for a name, which is kept both in the policy's settings and in a list of the host.
func name(fields func(*parser) (host, settings *string)) fieldSetter {
	return func(p *parser, value string) error {
		host, settings := fields(p)
		*host, *settings = value, value
		return nil
	}
}

// enum returns a setter for a value that is written as one of the given names.
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
