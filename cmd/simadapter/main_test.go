package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"sparspread/internal/simproto"
	"sparspread/policy"
)

// batchWith returns the frame of a batch with index 1 and the given records.
func batchWith(count uint32, records string) string {
	b := binary.LittleEndian.AppendUint32(nil, 1)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return string(binary.LittleEndian.AppendUint64(b, 1e6)) + records
}

// instanceStarted returns the record that starts instance 1 with the given settings.
func instanceStarted(settingsText string) string {
	head := "\x05\x01\x00" + strings.Repeat("\x07", 8)
	return head + string(binary.LittleEndian.AppendUint32(nil, uint32(len(settingsText)))) + settingsText
}

const (
	validSettings = "balancers=1\nrequest-classes.count=1\nrequest-classes.0.promise-us=600000\n" +
		"tariffs.count=1\ntariffs.0.rate=1\ntariffs.0.burst=5\n"
	emptyReply = "\x01\x00\x00\x00\x00\x00\x00\x00"
)

func TestRunRepliesToBatches(t *testing.T) {
	for _, c := range []struct {
		name, input string
		wantErr     bool
		wantOutput  string // a substring of the output
	}{
		{"empty batch", batchWith(0, ""), false, emptyReply},
		{"valid settings", batchWith(1, instanceStarted(validSettings)), false, emptyReply},
		{
			"malformed setting", batchWith(1, instanceStarted(validSettings+"balancers=no\n")),
			false, "setting balancers",
		},
		{
			"invalid settings", batchWith(1, instanceStarted(validSettings+"balancers=0\n")),
			false, "gateways",
		},
		{
			"event of an unknown instance", batchWith(1, "\x04\x09\x00\x00\x00\x00\x00"),
			false, emptyReply,
		},
		{"truncated frame", batchWith(1, "\x06\x01\x00")[:21], true, ""},
		{"unknown event", batchWith(1, "\x63\x01\x00"), true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(c.input), &out)
			if (err != nil) != c.wantErr || !strings.Contains(out.String(), c.wantOutput) {
				t.Errorf("output %q, error %v; want output containing %q, error %t",
					out.String(), err, c.wantOutput, c.wantErr)
			}
		})
	}
}

func TestHandleEventReportsPanicAsFailedInstance(t *testing.T) {
	a := newAdapter()
	a.controllers[4] = &policy.Controller{} // panics, because it was not created by policy.New
	a.reply.Reset(1)
	a.handleEvent(1, 4, simproto.TimerFired{})
	if got := string(a.reply.Bytes()); !strings.Contains(got, "panic") {
		t.Errorf("reply %q, want a substring \"panic\"", got)
	}
}
