// Package resp reads and writes RESP2 with bounded memory: a Reader holds at most a few values of MaxValue
// bytes, even if its input is malicious.
//
// The package is used instead of existing libraries because their parsers don't bound memory: redcon v1.6.4
// panics on a bulk length of -2 and does not limit the size of a command, and redigo allocates any announced
// length.
package resp

import (
	"errors"
	"fmt"
)

// Limits of the input.
const (
	MaxValue         = 64 << 10        // maximum size of a value that is kept in memory, in bytes
	MaxStreamedValue = 4 << 20         // maximum size of a value that the caller reads in parts, in bytes
	MaxCommand       = MaxValue + 4096 // maximum total size of the values of a command, in bytes
	MaxArgs          = 16              // maximum number of values of a command or an array

	// A command over the limits above is read and discarded if it is within these limits. A larger one is a
	// protocol error.
	maxDiscardedArgs  = 1024    // maximum number of values of a command
	maxDiscardedValue = 1 << 20 // maximum size of a value, in bytes
)

// ErrTooLarge reports that a well-formed command was discarded because it exceeds a limit. The Reader can
// read the next command.
var ErrTooLarge = errors.New("command too large")

// ErrProtocol reports that the input is malformed. The Reader must not be used further, because it does not
// know where the next message starts.
var ErrProtocol = errors.New("protocol error")

// protocolError returns an ErrProtocol with a reason.
func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrProtocol, reason) }

// The types of messages. A message starts with its type.
const (
	typeSimpleString = '+'
	typeError        = '-'
	typeInteger      = ':'
	typeBulkString   = '$'
	typeArray        = '*'
)
