package simproto

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"sparspread/policy"
)

// decodeHex decodes hexadecimal digits and ignores white space between them.
func decodeHex(tb testing.TB, digits string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// encodeFrame returns the encoded frame of a batch.
func encodeFrame(index, count uint32, now uint64, body []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, index)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(b, now), body...)
}

// eventCase is the record of an event, and the instance and the event that it is decoded to.
type eventCase struct {
	name     string
	record   string // hexadecimal digits
	instance uint16
	want     Event
}

// eventCases contains a case for each kind of event.
var eventCases = []eventCase{
	{
		"request received",
		"03 0300 c4913a5d7f250800 01 00000040 80a90300 0100 00004040 0200 0000803f" +
			"640ad2557c3bf091",
		3,
		RequestReceived{policy.Request{
			ID: 0x8257f5d3a91c4, Cost: 2, Timeout: 240000,
			Plan: 1, Replicas: 3, Class: 2, FirstReplica: 1, Customer: 0x91f03b7c55d20a64,
		}},
	},
	{"timer fired", "04 0300 4d000000", 3, TimerFired{TimerID: 77}},
	{"request cancelled", "09 0500 192b6f0e23e80e00", 5, RequestCancelled{RequestID: 0x0ee8230e6f2b19}},
	{
		"attempt ended",
		"07 0300 c4913a5d7f250800 0100 074a1203 03 44480000 01 5600 0300 01 0000803f",
		3,
		AttemptEnded{policy.Outcome{
			RequestID: 0x8257f5d3a91c4, Attempt: 1, Backend: 0x03124a07,
			Result: policy.ResultOverloaded, Latency: 18500, ClientAnswered: true,
			MeterReading: 86, ActualCost: 3, LoadReport: []float32{1},
		}},
	},
	{
		"endpoints updated",
		"08 0300 01 2900000000000000 02000000" +
			"074a1203 0000 00 0000 01 0000803f 0000000000000000" +
			"f211902c 0100 01 0300 02 0000c03f 20145d0000000000",
		3,
		EndpointsUpdated{
			Kind: policy.UpdateStale,
			Endpoints: []policy.Endpoint{
				{ID: 0x03124a07, CapacityHint: 1},
				{
					ID: 0x2c9011f2, Zone: 1, Cell: 3, State: policy.EndpointDraining,
					CapacityHint: 1.5, StartedAt: 0x5d1420,
				},
			},
		},
	},
	{
		"counter answered", "0b 0300 00001842 01 90f6890000000000 66080000",
		3,
		CounterAnswered{Total: 38, Result: policy.ResultOK, Name: 0x89f690},
	},
	{
		"health check ended", "02 0100 09000000 04 01000000 00",
		1,
		HealthCheckEnded{Backend: 9, Result: policy.ResultTimedOut},
	},
	{
		"gossip received", "01 0200 0100 0300 616263",
		2,
		GossipReceived{Sender: 1, Message: []byte("abc")},
	},
	{
		"response started", "0a 0100 0500000000000000 09000000 0100 02000000",
		1,
		ResponseStarted{RequestID: 5, Backend: 9, Attempt: 1, Latency: 2},
	},
	{
		"instance started", "05 0100 0700000000000000 03000000 613d31",
		1,
		InstanceStarted{Seed: 7, Settings: []byte("a=1")},
	},
	{"instance stopped", "06 0100", 1, InstanceStopped{}},
}

func TestDecodeReadsEachKindOfEvent(t *testing.T) {
	for _, c := range eventCases {
		t.Run(c.name, func(t *testing.T) {
			body := decodeHex(t, c.record)
			batch, err := ReadBatch(bytes.NewReader(encodeFrame(12, 1, 99, body)), nil)
			if err != nil || batch.Index != 12 || batch.Now != 99 {
				t.Fatalf("batch %+v, error %v", batch, err)
			}
			var instance uint16
			var got Event
			if err := batch.Decode(func(i uint16, e Event) { instance, got = i, e }); err != nil {
				t.Error(err)
			} else if instance != c.instance || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got instance %d,\n%#v, want %d,\n%#v", instance, got, c.instance, c.want)
			}
			for size := range body {
				short := Batch{Count: 1, Body: body[:size]}
				if err := short.Decode(func(uint16, Event) {}); !errors.Is(err, ErrTruncated) {
					t.Errorf("record truncated to %d bytes: error %v, want %v", size, err, ErrTruncated)
				}
			}
		})
	}
}

func TestReadBatchReportsIncompleteFrames(t *testing.T) {
	if _, err := ReadBatch(strings.NewReader(""), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: error %v, want EOF", err)
	}
	for name, input := range map[string][]byte{
		"truncated header":     {1, 2, 3},
		"truncated body":       encodeFrame(1, 1, 1, []byte{4, 0, 0, 0})[:22],
		"large announced body": append(decodeHex(t, "01000000 01000000 ffffffff 0000000000000000"), 4),
		"missing body":         encodeFrame(1, 1, 1, []byte{4, 0, 0, 0})[:batchHeaderSize],
	} {
		if _, err := ReadBatch(bytes.NewReader(input), nil); !errors.Is(err, ErrTruncated) {
			t.Errorf("%s: error %v, want %v", name, err, ErrTruncated)
		}
	}
}

func TestDecodeReportsMalformedRecords(t *testing.T) {
	for _, c := range []struct {
		name   string
		count  uint32
		record string // hexadecimal digits
		want   error
	}{
		{"unknown event", 1, "63 0000", ErrUnknownCode},
		{"event 0", 1, "00 0000", ErrUnknownCode},
		{"unknown result", 1, "02 0100 09000000 63 01000000 00", ErrUnknownCode},
		{"bytes after the last record", 1, "06 0100 00", ErrTrailingBytes},
		{"endpoint list longer than its batch", 1, "08 0300 01 2900000000000000 ffffffff 0000", ErrTruncated},
		{"gossip longer than its batch", 1, "01 0200 0100 ffff 61", ErrTruncated},
		{"fewer records than announced", 2, "06 0100", ErrTruncated},
	} {
		batch := Batch{Count: c.count, Body: decodeHex(t, c.record)}
		if err := batch.Decode(func(uint16, Event) {}); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
	}
}

func TestReplyEncodesEachAction(t *testing.T) {
	for _, c := range []struct {
		name         string
		appendAction func(*Reply)
		record       string // in hexadecimal
	}{
		{
			"send", func(r *Reply) { r.Send(0x8257f5d3a91c4, 0x03124a07, 0x8194da) },
			"41 0300 c4913a5d7f250800 da94810000000000 074a1203",
		},
		{"reject", func(r *Reply) { r.Reject(5, 1000) }, "42 0300 0500000000000000 e8030000"},
		{"fail", func(r *Reply) { r.Fail(5) }, "43 0300 0500000000000000"},
		{"set timer", func(r *Reply) { r.SetTimer(0x87fd7a, 77) }, "45 0300 7afd870000000000 4d000000"},
		{"health check", func(r *Reply) { r.HealthCheck(9) }, "46 0300 09000000"},
		{"send gossip", func(r *Reply) { r.SendGossip(1, []byte("hi 7")) }, "48 0300 0100 0400 68692037"},
		{
			"log", func(r *Reply) { r.Log("two servers known") },
			"49 0300 1100 74776f2073657276657273206b6e6f776e",
		},
		{"instance failed", func(r *Reply) { r.InstanceFailed("no") }, "4a 0300 0200 6e6f"},
		{"watch endpoints", func(r *Reply) { r.WatchEndpoints() }, "4b 0300 01"},
		{
			"increment counter", func(r *Reply) { r.IncrementCounter(0x89f690, 4, 3000000) },
			"4d 0300 90f6890000000000 00008040 c0c62d00",
		},
	} {
		var reply Reply
		reply.Reset(12)
		reply.SetInstance(3)
		c.appendAction(&reply)
		record := decodeHex(t, c.record)
		want := append(binary.LittleEndian.AppendUint32([]byte{12, 0, 0, 0}, uint32(len(record))), record...)
		if got := reply.Bytes(); !bytes.Equal(got, want) {
			t.Errorf("%s: got %x, want %x", c.name, got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(uint32(1), decodeHex(f, "04 0300 4d000000"))
	f.Add(uint32(1), decodeHex(f, "08 0300 01 2900000000000000 ffffffff 0000"))
	f.Add(uint32(2), decodeHex(f, "01 0200 0100 0300 616263 06 0100"))
	f.Fuzz(func(t *testing.T, count uint32, body []byte) {
		batch := Batch{Count: count, Body: body}
		decoded := 0
		err := batch.Decode(func(uint16, Event) { decoded++ })
		if err == nil && uint32(decoded) != count {
			t.Errorf("decoded %d of %d records without an error", decoded, count)
		}
	})
}
