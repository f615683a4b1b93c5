package simproto

import (
	"encoding/binary"
	"log/slog"
	"math"
	"strings"

	"sparspread/policy"
)

// replyHeaderSize is the size of a frame's header.
const replyHeaderSize = 8 // index of the batch, bytes of the actions

// Reply collects the actions that answer one batch. It implements policy.Actions for the instance that
// SetInstance named last.
type Reply struct {
	buf      []byte
	instance uint16
}

var _ policy.Actions = (*Reply)(nil)

// Reset empties the reply and begins the one to the batch of the given index.
func (r *Reply) Reset(index uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], index)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, 0)
}

// SetInstance names the instance that takes the following actions.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// Bytes completes the frame and returns it. It is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeaderSize))
	return r.buf
}

// appendHeader begins the record of an action.
func (r *Reply) appendRecordHeader(code uint8) {
	r.buf = append(r.buf, code)
	r.appendUint16(r.instance)
}

func (r *Reply) appendUint16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) appendUint32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) appendUint64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

// appendDuration appends a length of time, limited to what four bytes hold.
func (r *Reply) appendDuration(d policy.Time) {
	r.appendUint32(uint32(max(0, min(d, math.MaxUint32))))
}

// appendString appends a string behind its length, limited to what two bytes count.
func (r *Reply) appendString(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.appendUint16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Send appends an attempt at a backend, which the simulator sends at once.
func (r *Reply) Send(id uint64, backend uint32, deadline policy.Time) (waiting bool) {
	r.appendRecordHeader(codeSend)
	r.appendUint64(id)
	r.appendUint64(uint64(deadline))
	r.appendUint32(backend)
	return false
}

// Reject appends a rejection.
func (r *Reply) Reject(id uint64, retryAfter policy.Time) {
	r.appendRecordHeader(codeReject)
	r.appendUint64(id)
	r.appendDuration(retryAfter)
}

// Fail appends a failure.
func (r *Reply) Fail(id uint64) {
	r.appendRecordHeader(codeFail)
	r.appendUint64(id)
}

// SetTimer appends a timer.
func (r *Reply) SetTimer(at policy.Time, timerID uint32) {
	r.appendRecordHeader(codeSetTimer)
	r.appendUint64(uint64(at))
	r.appendUint32(timerID)
}

// HealthCheck appends a health check.
func (r *Reply) HealthCheck(backend uint32) {
	r.appendRecordHeader(codeHealthCheck)
	r.appendUint32(backend)
}

// SendGossip appends a gossip message to a peer, cut to 256 bytes.
func (r *Reply) SendGossip(peer int, message []byte) {
	r.appendRecordHeader(codeSendGossip)
	r.appendUint16(uint16(peer))
	r.appendString(string(message[:min(len(message), maxGossipSize)]))
}

// IncrementCounter appends a call to the shared counter.
func (r *Reply) IncrementCounter(name uint64, amount float64, lifetime policy.Time) {
	r.appendRecordHeader(codeIncrementCounter)
	r.appendUint64(name)
	r.appendUint32(math.Float32bits(float32(amount)))
	r.appendDuration(lifetime)
}

// WatchEndpoints appends a subscription to discovery.
func (r *Reply) WatchEndpoints() {
	r.appendRecordHeader(codeWatchEndpoints)
	r.buf = append(r.buf, 1)
}

// Log appends a log line: the message and the attributes as key=value.
func (r *Reply) Log(message string, attributes ...slog.Attr) {
	var line strings.Builder
	line.WriteString(message)
	for _, attribute := range attributes {
		line.WriteByte(' ')
		line.WriteString(attribute.String())
	}
	r.appendRecordHeader(codeLog)
	r.appendString(line.String())
}

// InstanceFailed appends that the instance failed and is gone.
func (r *Reply) InstanceFailed(reason string) {
	r.appendRecordHeader(codeInstanceFailed)
	r.appendString(reason)
}
