// Package resp reads and writes RESP2 with bounded memory: whatever its input, a Reader holds no more than a
// few values of MaxValue bytes.
//
// It stands in for the parsers of two libraries that lack what a gateway needs: redcon v1.6.4 panics on a
// bulk length of -2 and lets a command grow without bound, redigo allocates whatever length is announced.
package resp

import (
	"errors"
	"fmt"
)

// Limits on what is read.
const (
	MaxValue         = 64 << 10        // bytes of one value that is kept
	MaxStreamedValue = 4 << 20         // bytes of one value that is left to the caller to read in parts
	MaxCommand       = MaxValue + 4096 // bytes of all values of a command
	MaxArgs          = 16              // values of one command or array that are kept

	maxDiscardedArgs  = 1024    // values of one command that is discarded for its size
	maxDiscardedValue = 1 << 20 // bytes of one value that is discarded
)

// ErrTooLarge reports that a well-formed command was discarded because it exceeds a limit. The next command
// can be read.
var ErrTooLarge = errors.New("command too large")

// ErrProtocol reports that the input is malformed. Nothing more can be read, since the next message's start
// is unknown.
var ErrProtocol = errors.New("protocol error")

// malformed is the error of input that breaks the protocol.
func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrProtocol, reason) }

// The first bytes of messages, which name their type.
const (
	typeSimpleString = '+'
	typeError        = '-'
	typeInteger      = ':'
	typeBulkString   = '$'
	typeArray        = '*'
)
