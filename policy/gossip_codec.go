package policy

import (
	"encoding/binary"
	"math"
)

// A gossip message is a header followed by items. The first byte of each item is its kind. Numbers
// are little-endian. Gateways of different releases exchange these bytes, so the layout must not
// change unless gossipVersion does.
//
//	header    version u8, incarnation u32, in flight u16, on-time rate u16 (both in 1/8)
//	usage     kind u8, customer u40, plan u8, first replica u16, replicas u16, consumed u16,
//	          requested u16, newly requested u8, wanted halves u8, quota request u8, remaining u8
//	grant     kind u8, customer u40, fraction u8, quota request u8, approved u8
//	fault     kind u8, backend u32, subject u8
//	sequence  kind u8, number u8
const (
	gossipVersion = 3

	headerSize   = 9
	usageSize    = 19
	grantSize    = 9
	faultSize    = 6
	sequenceSize = 2

	initialMessageSize  = 16 // for a header and a sequence number; most messages have no other items
	maxMessageSize      = 256
	maxFaultsPerMessage = 3
	countsPerUnit       = 8.0 // units are sent as multiples of 1/8; totals wrap around
	halvesPerUnit       = 2.0 // the units of a quota request are sent as multiples of 1/2
	idLowBits           = 32  // low bits of a customer's ID, sent before the high byte
)

// The kinds of items.
const (
	usageItem = iota
	grantItem
	faultItem
	sequenceItem
)

// itemSizes are the sizes of the items by kind, in bytes.
var itemSizes = [...]int{
	usageItem: usageSize, grantItem: grantSize, faultItem: faultSize, sequenceItem: sequenceSize,
}

// gossipMessage is a decoded message.
type gossipMessage struct {
	incarnation uint32
	inFlight    float64 // attempts in flight per gateway, by the sender's load view
	onTimeRate  float64 // on-time answers per second and gateway, by the same view
	usage       []usageEntry
	grants      []grant
	faults      []faultReport
	sequence    byte // zero if the message has none
}

// usageEntry reports the usage of one customer at the sender.
type usageEntry struct {
	customer               uint64
	plan                   int
	firstReplica, replicas int
	consumed, requested    uint16 // wrapping counts of 1/8 unit since the sender's start
	newlyRequested         uint16 // the increase of requested since the last report; sent as at most 255
	wantedHalves           byte   // half units that a quota request asks for
	quotaRequest           byte   // the sequence number of the quota request; zero if there is none
	// remaining is the level of the sender's bucket as a fraction of its capacity. In a wide replica set (see
	// quotaSharing) it is the granted fraction known to the sender.
	remaining float64
}

// grant carries a coordinator's grant for one customer to another gateway of the replica set: it either
// advertises the granted fraction alone, or also answers a quota request.
type grant struct {
	customer     uint64
	fraction     float64 // the part of the requested units that the receiver may admit
	quotaRequest byte    // the sequence number of the quota request that this answers; zero if none
	approved     bool    // whether that quota request is granted
}

// faultReport reports a fault of a backend on a request of one class or plan.
type faultReport struct {
	backend uint32
	subject faultSubject
}

func packUnits(units float64) uint16 { return uint16(int64(units * countsPerUnit)) }

func unpackUnits(counts uint16) float64 { return float64(counts) / countsPerUnit }

// packFraction packs a fraction between 0 and 1 into a byte, with a finer resolution near 0. Other values are
// clamped.
func packFraction(x float64) byte {
	return byte(math.Round(math.MaxUint8 * math.Sqrt(math.Min(1, math.Max(0, x)))))
}

func unpackFraction(b byte) float64 { return float64(b) / math.MaxUint8 * float64(b) / math.MaxUint8 }

// messageHeader returns a new message that consists of a header.
func messageHeader(incarnation uint32, inFlight, onTimeRate float64) []byte {
	message := make([]byte, 0, initialMessageSize)
	message = binary.LittleEndian.AppendUint32(append(message, gossipVersion), incarnation)
	message = binary.LittleEndian.AppendUint16(message, packLoad(inFlight))
	return binary.LittleEndian.AppendUint16(message, packLoad(onTimeRate))
}

// packLoad packs a value of the load view. A value that is too large saturates.
func packLoad(x float64) uint16 { return uint16(math.Min(math.MaxUint16, x*countsPerUnit)) }

// appendItemID appends the kind of an item on a customer and the lower 40 bits of the customer's ID.
func appendItemID(message []byte, kind byte, customer uint64) []byte {
	message = binary.LittleEndian.AppendUint32(append(message, kind), uint32(customer))
	return append(message, byte(customer>>idLowBits))
}

func decodeItemID(b []byte) uint64 { return uint64(binary.LittleEndian.Uint32(b)) | uint64(b[4])<<32 }

func (e *usageEntry) appendTo(message []byte) []byte {
	message = append(appendItemID(message, usageItem, e.customer), byte(e.plan))
	message = binary.LittleEndian.AppendUint16(message, uint16(e.firstReplica))
	message = binary.LittleEndian.AppendUint16(message, uint16(e.replicas))
	message = binary.LittleEndian.AppendUint16(message, e.consumed)
	message = binary.LittleEndian.AppendUint16(message, e.requested)
	newlyRequested := byte(min(e.newlyRequested, math.MaxUint8))
	return append(message, newlyRequested, e.wantedHalves, e.quotaRequest, packFraction(e.remaining))
}

func decodeUsage(b []byte) usageEntry {
	return usageEntry{
		customer: decodeItemID(b[1:]), plan: int(b[6]),
		firstReplica: int(binary.LittleEndian.Uint16(b[7:])),
		replicas:     int(binary.LittleEndian.Uint16(b[9:])),
		consumed:     binary.LittleEndian.Uint16(b[11:]), requested: binary.LittleEndian.Uint16(b[13:]),
		newlyRequested: uint16(b[15]), wantedHalves: b[16], quotaRequest: b[17],
		remaining: unpackFraction(b[18]),
	}
}

func (r grant) appendTo(message []byte) []byte {
	approved := byte(0)
	if r.approved {
		approved = 1
	}
	message = appendItemID(message, grantItem, r.customer)
	return append(message, packFraction(r.fraction), r.quotaRequest, approved)
}

func decodeGrant(b []byte) grant {
	return grant{
		customer: decodeItemID(b[1:]), fraction: unpackFraction(b[6]),
		quotaRequest: b[7], approved: b[8] == 1,
	}
}

func (f faultReport) appendTo(message []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(append(message, faultItem), f.backend), byte(f.subject))
}

func decodeFault(b []byte) faultReport {
	return faultReport{backend: binary.LittleEndian.Uint32(b[1:]), subject: faultSubject(b[5])}
}

// decodeGossip decodes a message. It is not ok if its version differs or it has an unknown or incomplete
// item.
func decodeGossip(b []byte) (message gossipMessage, ok bool) {
	if len(b) < headerSize || b[0] != gossipVersion {
		return message, false
	}
	message.incarnation = binary.LittleEndian.Uint32(b[1:])
	message.inFlight = unpackUnits(binary.LittleEndian.Uint16(b[5:]))
	message.onTimeRate = unpackUnits(binary.LittleEndian.Uint16(b[7:]))
	for b = b[headerSize:]; len(b) > 0; {
		if int(b[0]) >= len(itemSizes) || len(b) < itemSizes[b[0]] {
			return message, false
		}
		message.decodeItem(b)
		b = b[itemSizes[b[0]]:]
	}
	return message, true
}

// decodeItem adds the item at the beginning of b, which must be complete.
func (m *gossipMessage) decodeItem(b []byte) {
	switch b[0] {
	case usageItem:
		m.usage = append(m.usage, decodeUsage(b))
	case grantItem:
		m.grants = append(m.grants, decodeGrant(b))
	case faultItem:
		m.faults = append(m.faults, decodeFault(b))
	case sequenceItem:
		m.sequence = b[1]
	}
}
