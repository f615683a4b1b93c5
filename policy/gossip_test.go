package policy

import (
	"slices"
	"testing"
)

// Guards against usage that is charged twice, or never, if gossip messages are lost, repeated or reordered.
func TestApplyUsageWithLostRepeatedAndReorderedMessages(t *testing.T) {
	a, b := gossipPair(t)
	var messages [][]byte
	for range 3 {
		a.serve(1, 9, 4)
		entry := usageEntry{
			customer: 9, plan: 1, replicas: 2,
			consumed: packUnits(a.customers.byID[9].usage.consumed), remaining: 0.5,
		}
		messages = append(messages, entry.appendTo(a.gossip.newMessage(a.loadView())))
	}
	b.GossipReceived(b.at, 0, messages[0])
	level := b.customers.byID[9].bucket.level
	b.GossipReceived(b.at, 0, messages[2]) // messages[1] has not arrived yet
	assertNear(t, "level after 8 more units", b.customers.byID[9].bucket.level, level-8)
	b.GossipReceived(b.at, 0, messages[2])
	b.GossipReceived(b.at, 0, messages[1])
	assertNear(t, "level after a repeated and a reordered message", b.customers.byID[9].bucket.level, level-8)
}

func TestGossipReceivedIgnoresMalformedMessagesAndUnknownPeers(t *testing.T) {
	_, b := gossipPair(t)
	valid := (&usageEntry{customer: 9, plan: 0, replicas: 2}).appendTo(messageHeader(1, 0, 0))
	otherVersion := slices.Clone(valid)
	otherVersion[0]++
	unknownPlan := (&usageEntry{customer: 9, plan: 200, replicas: 2}).appendTo(messageHeader(1, 0, 0))
	truncated, extended := valid[:len(valid)-1], append(slices.Clone(valid), 0)
	for _, message := range [][]byte{nil, {1}, truncated, extended, otherVersion, unknownPlan} {
		b.GossipReceived(b.at, 0, message)
	}
	for _, unknownPeer := range []int{-1, 1, 2} {
		b.GossipReceived(b.at, unknownPeer, valid)
	}
	if len(b.customers.byID) != 0 {
		t.Error("a malformed message created a customer record")
	}
}

func TestPackFractionRoundTripAndClamping(t *testing.T) {
	for b := range 256 {
		if got := packFraction(unpackFraction(byte(b))); got != byte(b) {
			t.Errorf("byte %d: packed again as %d", b, got)
		}
	}
	if unpackFraction(1) > 0.0001 {
		t.Errorf("smallest fraction above 0: got %g, want at most 0.0001", unpackFraction(1))
	}
	for _, outside := range []float64{-1, 2} {
		if got, want := unpackFraction(packFraction(outside)), min(1, max(0, outside)); got != want {
			t.Errorf("fraction %g: got %g after packing, want %g", outside, got, want)
		}
	}
}

func TestAcceptSequenceRejectsOlderMessagesOfIncarnation(t *testing.T) {
	var p peer
	for _, c := range []struct {
		incarnation uint32
		sequence    byte
		want        bool
	}{
		{1, 0, false},
		{1, 200, true},
		{1, 200, false},
		{1, 199, false},
		{1, 255, true},
		{1, 1, true},
		{1, 254, false},
		{2, 254, true},
	} {
		message := gossipMessage{incarnation: c.incarnation, sequence: c.sequence}
		if got := p.acceptSequence(&message); got != c.want {
			t.Errorf("incarnation %d, sequence %d: got %t, want %t", c.incarnation, c.sequence, got, c.want)
		}
		p.incarnation = c.incarnation
	}
	if p.sequence != 254 {
		t.Errorf("newest sequence: got %d, want 254", p.sequence)
	}
}
