package policy

import (
	"encoding/binary"
	"math"
)

// A note is a version, the sender's boot, its view of the back end, and items,
// each of which begins with its kind.
const (
	gossipVersion       = 3
	headerSize          = 9
	usageSize           = 19
	grantSize           = 9
	faultSize           = 6
	sequenceSize        = 2
	maxFaultsPerMessage = 3 // a note's words of trouble, the latest
	maxMessageSize      = 256
	countsPerUnit       = 8.0 // units are told in eighths, a total of them wraps
)

const (
	usageItem = iota
	grantItem
	faultItem
	sequenceItem
)

// entry is what a note tells of one customer.
type usageEntry struct {
	customer                     uint64
	plan, firstReplica, replicas int
	consumed, requested          uint16  // units since the boot, counted
	newlyRequested               uint16  // of those asked: since the last note, at most 255 eighths
	wantedHalves, quotaRequest   byte    // halves of units wanted now, and the number of that ask; 0: none
	remaining                    float64 // of the store, as a part of the burst; of a wide set the grant
}

// grant is what a home tells its set of one customer.
type grant struct {
	customer     uint64
	fraction     float64
	quotaRequest byte // the ask that this answers; 0: none
	approved     bool
}

// word tells of trouble at a backend for a class or, after all classes, for a plan.
type faultReport struct {
	backend uint32
	subject byte
}

func (w faultReport) appendTo(n []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(append(n, faultItem), w.backend), w.subject)
}

// note is a note taken apart.
type gossipMessage struct {
	incarnation          uint32
	inFlight, onTimeRate float64
	usage                []usageEntry
	grants               []grant
	faults               []faultReport
	sequence             byte // the sender's count of its notes, round; 0: not told
}

func packUnits(units float64) uint16 { return uint16(int64(units * countsPerUnit)) }

func unpackUnits(counted uint16) float64 { return float64(counted) / countsPerUnit }

// noteHead begins a note.
func messageHeader(boot uint32, held, inTime float64) []byte {
	n := binary.LittleEndian.AppendUint32([]byte{gossipVersion}, boot)
	n = binary.LittleEndian.AppendUint16(n, uint16(math.Min(math.MaxUint16, held*countsPerUnit)))
	return binary.LittleEndian.AppendUint16(n, uint16(math.Min(math.MaxUint16, inTime*countsPerUnit)))
}

func appendItemID(n []byte, kind byte, id uint64) []byte {
	return append(binary.LittleEndian.AppendUint32(append(n, kind), uint32(id)), byte(id>>32))
}

func readID(b []byte) uint64 { return uint64(binary.LittleEndian.Uint32(b)) | uint64(b[4])<<32 }

// put adds an entry to a note.
func (e *usageEntry) appendTo(n []byte) []byte {
	n = append(appendItemID(n, usageItem, e.customer), byte(e.plan))
	n = binary.LittleEndian.AppendUint16(n, uint16(e.firstReplica))
	n = binary.LittleEndian.AppendUint16(n, uint16(e.replicas))
	n = binary.LittleEndian.AppendUint16(n, e.consumed)
	n = binary.LittleEndian.AppendUint16(n, e.requested)
	return append(n, byte(min(e.newlyRequested, math.MaxUint8)), e.wantedHalves, e.quotaRequest, packFraction(e.remaining))
}

// put adds a grant to a note.
func (r grant) appendTo(n []byte) []byte {
	yes := byte(0)
	if r.approved {
		yes = 1
	}
	return append(appendItemID(n, grantItem, r.customer), packFraction(r.fraction), r.quotaRequest, yes)
}

// packPart packs a part of one, finer near nothing.
func packFraction(x float64) byte {
	return byte(math.Round(255 * math.Sqrt(math.Min(1, math.Max(0, x)))))
}

func unpackFraction(b byte) float64 { return float64(b) / 255 * float64(b) / 255 }

// readNote takes a note apart; one of another version or a wrong length is not ok.
func decodeGossip(b []byte) (n gossipMessage, ok bool) {
	if len(b) < headerSize || b[0] != gossipVersion {
		return n, false
	}
	n.incarnation = binary.LittleEndian.Uint32(b[1:])
	n.inFlight, n.onTimeRate = unpackUnits(binary.LittleEndian.Uint16(b[5:])), unpackUnits(binary.LittleEndian.Uint16(b[7:]))
	for b = b[headerSize:]; len(b) > 0; {
		switch {
		case b[0] == usageItem && len(b) >= usageSize:
			n.usage = append(n.usage, usageEntry{
				customer: readID(b[1:]), plan: int(b[6]),
				firstReplica: int(binary.LittleEndian.Uint16(b[7:])), replicas: int(binary.LittleEndian.Uint16(b[9:])),
				consumed: binary.LittleEndian.Uint16(b[11:]), requested: binary.LittleEndian.Uint16(b[13:]),
				newlyRequested: uint16(b[15]), wantedHalves: b[16], quotaRequest: b[17], remaining: unpackFraction(b[18]),
			})
			b = b[usageSize:]
		case b[0] == grantItem && len(b) >= grantSize:
			n.grants = append(n.grants, grant{readID(b[1:]), unpackFraction(b[6]), b[7], b[8] == 1})
			b = b[grantSize:]
		case b[0] == faultItem && len(b) >= faultSize:
			n.faults = append(n.faults, faultReport{binary.LittleEndian.Uint32(b[1:]), b[5]})
			b = b[faultSize:]
		case b[0] == sequenceItem && len(b) >= sequenceSize:
			n.sequence = b[1]
			b = b[sequenceSize:]
		default:
			return n, false
		}
	}
	return n, true
}
