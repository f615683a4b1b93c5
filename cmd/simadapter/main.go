// Command simadapter runs the policy of simulated gateways. It reads batches of events from standard input,
// passes them to package policy and writes the resulting actions to standard output.
//
// The exit code is 0 at the end of the input. If the input is malformed or the output cannot be written, the
// command writes a message to standard error and exits with 1.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sparspread/internal/simproto"
)

// ioBufferSize is the size in bytes of the buffers for input and output.
const ioBufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run reads batches from in until its end and writes a reply to each of them to out.
func run(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, ioBufferSize), bufio.NewWriterSize(out, ioBufferSize)
	a := newAdapter()
	var body []byte // reused from batch to batch
	for {
		batch, err := simproto.ReadBatch(reader, body)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		body = batch.Body
		reply, err := a.handleBatch(&batch)
		if err != nil {
			return err
		}
		if err := writeReply(writer, reply); err != nil {
			return fmt.Errorf("write reply %d: %w", batch.Index, err)
		}
	}
}

// writeReply writes a frame and flushes it, because the simulator waits for each reply.
func writeReply(w *bufio.Writer, reply []byte) error {
	if _, err := w.Write(reply); err != nil {
		return err
	}
	return w.Flush()
}
