package simproto

import (
	"encoding/binary"
	"log/slog"
	"math"
	"strings"

	"sparspread/policy"
)

// replyHeaderSize is the size in bytes of a frame's header, which consists of the index of the batch and the
// total size of the actions.
const replyHeaderSize = 8

// Reply encodes the actions in reply to one batch. It implements policy.Actions for the instance that was
// last passed to SetInstance.
type Reply struct {
	buf      []byte
	instance uint16
}

var _ policy.Actions = (*Reply)(nil)

// Reset discards the actions and starts the reply to the batch with the given index.
func (r *Reply) Reset(index uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], index)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, 0)
}

// SetInstance sets the instance to which the following actions belong.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// Bytes completes the frame and returns it. The slice is valid until the next call of Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeaderSize))
	return r.buf
}

// appendRecordHeader appends the code and the instance with which the record of an action starts.
func (r *Reply) appendRecordHeader(code uint8) {
	r.buf = append(r.buf, code)
	r.appendUint16(r.instance)
}

func (r *Reply) appendUint16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) appendUint32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) appendUint64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

// appendDuration appends a duration, limited to the range of four bytes.
func (r *Reply) appendDuration(d policy.Time) {
	r.appendUint32(uint32(max(0, min(d, math.MaxUint32))))
}

// appendString appends the length of a string and the string, truncated to the longest length of two bytes.
func (r *Reply) appendString(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.appendUint16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Send appends an attempt. It returns false because the simulator sends attempts immediately.
func (r *Reply) Send(id uint64, backend uint32, deadline policy.Time) (waiting bool) {
	r.appendRecordHeader(codeSend)
	r.appendUint64(id)
	r.appendUint64(uint64(deadline))
	r.appendUint32(backend)
	return false
}

// Reject appends the rejection of a request.
func (r *Reply) Reject(id uint64, retryAfter policy.Time) {
	r.appendRecordHeader(codeReject)
	r.appendUint64(id)
	r.appendDuration(retryAfter)
}

// Fail appends the failure of a request.
func (r *Reply) Fail(id uint64) {
	r.appendRecordHeader(codeFail)
	r.appendUint64(id)
}

// SetTimer appends a timer to be set.
func (r *Reply) SetTimer(at policy.Time, timerID uint32) {
	r.appendRecordHeader(codeSetTimer)
	r.appendUint64(uint64(at))
	r.appendUint32(timerID)
}

// HealthCheck appends a health check of a backend.
func (r *Reply) HealthCheck(backend uint32) {
	r.appendRecordHeader(codeHealthCheck)
	r.appendUint32(backend)
}

// SendGossip appends a gossip message to a peer, truncated to 256 bytes.
func (r *Reply) SendGossip(peer int, message []byte) {
	r.appendRecordHeader(codeSendGossip)
	r.appendUint16(uint16(peer))
	r.appendString(string(message[:min(len(message), maxGossipSize)]))
}

// IncrementCounter appends an increment of the shared counter.
func (r *Reply) IncrementCounter(name uint64, amount float64, lifetime policy.Time) {
	r.appendRecordHeader(codeIncrementCounter)
	r.appendUint64(name)
	r.appendUint32(math.Float32bits(float32(amount)))
	r.appendDuration(lifetime)
}

// WatchEndpoints appends a watch of the endpoint list.
func (r *Reply) WatchEndpoints() {
	r.appendRecordHeader(codeWatchEndpoints)
	r.buf = append(r.buf, 1)
}

// Log appends a log line that consists of the message and the attributes as key=value.
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

// InstanceFailed appends a report that the instance has failed and no longer exists.
func (r *Reply) InstanceFailed(reason string) {
	r.appendRecordHeader(codeInstanceFailed)
	r.appendString(reason)
}
