package resp

import (
	"errors"
	"io"
	"os"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadCommand(t *testing.T) {
	const tooLarge = MaxValue + 1
	largeValue := strings.Repeat("x", tooLarge)
	largeCommand := "*1\r\n$65537\r\n" + largeValue + "\r\n"
	for _, c := range []struct {
		name, input string
		want        []string
		wantErr     error
	}{
		{"two values", "*2\r\n$4\r\nPING\r\n$0\r\n\r\n", []string{"PING", ""}, nil},
		{"empty array before a command", "*0\r\n*1\r\n$1\r\na\r\n", []string{"a"}, nil},
		{"CRLF in a value", "*1\r\n$4\r\na\r\nb\r\n", []string{"a\r\nb"}, nil},
		{"end of input", "", nil, io.EOF},
		{"end within a command", "*2\r\n$1\r\na\r\n", nil, io.ErrUnexpectedEOF},
		{"end within a value", "*1\r\n$5\r\na", nil, io.ErrUnexpectedEOF},
		{"value over the limit", largeCommand, nil, ErrTooLarge},
		{"too many values", "*17\r\n" + strings.Repeat("$0\r\n\r\n", 17), nil, ErrTooLarge},
		{"not an array", "PING\r\n", nil, ErrProtocol},
		{"negative length", "*1\r\n$-2\r\nxx", nil, ErrProtocol},
		{"length is not a number", "*x\r\n", nil, ErrProtocol},
		{"bare LF", "*1\n", nil, ErrProtocol},
		{"value without CRLF", "*1\r\n$1\r\nabc", nil, ErrProtocol},
		{"not a bulk string", "*1\r\n+OK\r\n", nil, ErrProtocol},
		{"line too long", "*" + largeValue, nil, ErrProtocol},
	} {
		t.Run(c.name, func(t *testing.T) {
			args, err := NewReader(iotest.OneByteReader(strings.NewReader(c.input))).ReadCommand()
			var got []string
			for _, arg := range args {
				got = append(got, string(arg))
			}
			if !errors.Is(err, c.wantErr) || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %q, error %v, want %q, error %v", got, err, c.want, c.wantErr)
			}
		})
	}
	r := NewReader(strings.NewReader(largeCommand + "*1\r\n$4\r\nnext\r\n"))
	if _, err := r.ReadCommand(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("large command: error %v, want %v", err, ErrTooLarge)
	}
	if args, err := r.ReadCommand(); err != nil || string(args[0]) != "next" {
		t.Errorf("command after a large command: got %q, error %v, want \"next\"", args, err)
	}
}

func TestReadReply(t *testing.T) {
	for _, c := range []struct {
		input string
		want  Reply
		valid bool
	}{
		{"+PONG\r\n", Reply{Kind: '+', Text: []byte("PONG")}, true},
		{"-ERR failed\r\n", Reply{Kind: '-', Text: []byte("ERR failed")}, true},
		{"$-1\r\n", Reply{Kind: '$', Null: true}, true},
		{
			"*2\r\n$1\r\na\r\n$-1\r\n",
			Reply{Kind: '*', Items: []Reply{{Kind: '$', Text: []byte("a")}, {Kind: '$', Null: true}}},
			true,
		},
		{"*1\r\n*1\r\n$1\r\na\r\n", Reply{}, false},
		{"$65537\r\n", Reply{}, false},
		{"*1000000000\r\n", Reply{}, false},
		{"$-2\r\n", Reply{}, false},
		{"\r\n", Reply{}, false},
		{"?\r\n", Reply{}, false},
		{"$5\r\nab", Reply{}, false},
	} {
		got, err := NewReader(strings.NewReader(c.input)).ReadReply()
		if (err == nil) != c.valid || c.valid && !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q: got %+v, error %v, want %+v, valid %t", c.input, got, err, c.want, c.valid)
		}
	}
}

// interruptedReader returns one byte at a time, and an error before each.
type interruptedReader struct {
	text        string
	interrupted bool // the error before the next byte was returned
}

func (r *interruptedReader) Read(b []byte) (int, error) {
	r.interrupted = !r.interrupted
	switch {
	case r.interrupted:
		return 0, os.ErrDeadlineExceeded
	case r.text == "":
		return 0, io.EOF
	}
	b[0], r.text = r.text[0], r.text[1:]
	return 1, nil
}

// A value can be read on after any interruption, and is complete with its line end only.
func TestStreamedValueContinuesAfterInterruptions(t *testing.T) {
	for input, wantErr := range map[string]error{
		"value\r\n": io.EOF, "value\rx": ErrProtocol,
		"value": io.ErrUnexpectedEOF, "val": io.ErrUnexpectedEOF,
	} {
		v := NewReader(&interruptedReader{text: input}).NewStreamedValue(len("value"))
		var got []byte
		err := os.ErrDeadlineExceeded
		for errors.Is(err, os.ErrDeadlineExceeded) || err == nil {
			var n int
			b := make([]byte, 2)
			n, err = v.Read(b)
			got = append(got, b[:n]...)
		}
		if want := strings.TrimRight(input, "\r\nx"); string(got) != want || !errors.Is(err, wantErr) {
			t.Errorf("%q: got %q, error %v; want %q, error %v", input, got, err, want, wantErr)
		}
	}
}

// Guards against allocating the announced size of a value before it is received: many peers that announce
// large values but send little could exhaust the memory.
func TestReadCommandAllocatesOnlyForReceivedBytes(t *testing.T) {
	const (
		commands           = 200
		maxBytesPerCommand = 16 << 10
	)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range commands {
		_, err := NewReader(strings.NewReader("*16\r\n$65536\r\nab")).ReadCommand()
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / commands; got > maxBytesPerCommand {
		t.Errorf("allocated %d bytes for a command of which 2 bytes of values were sent, want at most %d",
			got, maxBytesPerCommand)
	}
	value := "$65536\r\n" + strings.Repeat("x", MaxValue) + "\r\n"
	_, err := NewReader(strings.NewReader("*2\r\n" + value + value)).ReadCommand()
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("values over the limit of a command: error %v, want %v", err, ErrTooLarge)
	}
}

// A Reader neither panics nor returns an empty command or one of more than MaxArgs values, for any input.
func FuzzReadCommand(f *testing.F) {
	for _, seed := range []string{
		"*1\r\n$4\r\nPING\r\n", "*1\r\n$-2\r\nxx", "*3\r\n$1\r\na\r\n", "*\r\n", "*1\r\n$\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input string) {
		r := NewReader(strings.NewReader(input))
		for {
			args, err := r.ReadCommand()
			if errors.Is(err, ErrTooLarge) {
				continue
			}
			if err != nil {
				return
			}
			if len(args) == 0 || len(args) > MaxArgs {
				t.Fatalf("got %d values, want at least 1 and at most MaxArgs", len(args))
			}
		}
	})
}
