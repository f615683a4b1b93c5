package policy

import (
	"slices"
	"testing"
)

// mustDecode decodes a gossip message, which must be well-formed.
func mustDecode(t *testing.T, raw []byte) gossipMessage {
	t.Helper()
	message, ok := decodeGossip(raw)
	if !ok {
		t.Fatalf("malformed message %x", raw)
	}
	return message
}

func TestNewMessageSequenceSkipsZero(t *testing.T) {
	gossip := newGossipState(7, 3)
	gossip.sequence = 253
	var sequences []byte
	for range 4 {
		sequences = append(sequences, mustDecode(t, gossip.newMessage(loadView{gateways: 1})).sequence)
	}
	if want := []byte{254, 255, 1, 2}; !slices.Equal(sequences, want) {
		t.Errorf("sequence numbers: got %v, want %v", sequences, want)
	}
}

func TestNewMessageCarriesLoadPerGateway(t *testing.T) {
	gossip := newGossipState(7, 3)
	message := mustDecode(t, gossip.newMessage(loadView{inFlight: 8, onTimeRate: 30, gateways: 4}))
	assertNear(t, "in flight", message.inFlight, 2)
	assertNear(t, "on time", message.onTimeRate, 7.5)
	if message.incarnation != 7 {
		t.Errorf("incarnation: got %d, want 7", message.incarnation)
	}
}

func TestNewMessageRepeatsPendingFaultReports(t *testing.T) {
	gossip := newGossipState(7, 3)
	for backend := range uint32(maxFaultsPerMessage + 1) {
		gossip.addFault(faultReport{backend: backend})
	}
	for i := range faultRepeats {
		faults := mustDecode(t, gossip.newMessage(loadView{gateways: 1})).faults
		if len(faults) != maxFaultsPerMessage || faults[0].backend != 1 {
			t.Fatalf("message %d: got fault reports %v, want the newest %d", i, faults, maxFaultsPerMessage)
		}
	}
	if faults := mustDecode(t, gossip.newMessage(loadView{gateways: 1})).faults; len(faults) != 0 {
		t.Errorf("got fault reports %v after %d messages, want none", faults, faultRepeats)
	}
	gossip.addFault(faultReport{backend: 9})
	gossip.dropFaults()
	if faults := mustDecode(t, gossip.newMessage(loadView{gateways: 1})).faults; len(faults) != 0 {
		t.Errorf("after dropFaults: got fault reports %v, want none", faults)
	}
}

func TestPreparedMessageFillsUpToMaxSize(t *testing.T) {
	gossip, entries := newGossipState(7, 3), 0
	gossip.startMessage(1, loadView{gateways: 1})
	for gossip.fits(1, usageSize) {
		gossip.addUsage(1, &usageEntry{customer: uint64(entries), replicas: 3})
		entries++
	}
	if gossip.hasMessage(0) || gossip.hasMessage(2) {
		t.Error("a message was started for another peer")
	}
	raw := gossip.takeMessage(1)
	if len(raw) > maxMessageSize {
		t.Errorf("message of %d bytes exceeds the maximum size", len(raw))
	}
	if got := len(mustDecode(t, raw).usage); got != entries || got < 10 {
		t.Errorf("usage entries: got %d of %d", got, entries)
	}
	if gossip.hasMessage(1) || !gossip.fits(1, usageSize) {
		t.Error("the message is still in preparation after takeMessage")
	}
	gossip.startMessage(1, loadView{gateways: 1})
	gossip.addGrant(1, grant{customer: 5, fraction: 1})
	if grants := mustDecode(t, gossip.takeMessage(1)).grants; len(grants) != 1 || grants[0].customer != 5 {
		t.Errorf("got grants %v, want one of customer 5", grants)
	}
}

func TestReceiveDetectsNewestRestartedAndWeight(t *testing.T) {
	steps := []struct {
		name    string
		at      Time
		message gossipMessage
		want    receiveResult
	}{
		{
			"first message", 2 * second,
			gossipMessage{incarnation: 4, sequence: 10},
			receiveResult{newest: true, restarted: true, weight: 1},
		},
		{
			"next message", 2*second + second/4,
			gossipMessage{incarnation: 4, sequence: 11},
			receiveResult{newest: true, weight: 0.25},
		},
		{
			"a repeat", 3*second + second/4,
			gossipMessage{incarnation: 4, sequence: 11},
			receiveResult{weight: 1},
		},
		{"an older one", 5 * second, gossipMessage{incarnation: 4, sequence: 9}, receiveResult{weight: 1}},
		{
			"first message after a restart", 7 * second,
			gossipMessage{incarnation: 5, sequence: 1},
			receiveResult{newest: true, restarted: true, weight: 1},
		},
	}
	gossip := newGossipState(7, 3)
	gossip.resetReceiveTimes(0)
	for _, step := range steps {
		if got := gossip.receive(1, step.at, &step.message); got != step.want {
			t.Errorf("%s: got %+v, want %+v", step.name, got, step.want)
		}
	}
}

func TestAllActiveRequiresRecentMessageOfEachReplica(t *testing.T) {
	sharing := newQuotaSharing(&Settings{Gateways: 4, Gossip: true})
	set, gossip := &account{id: 9, replicas: 3}, newGossipState(7, 4)
	gossip.resetReceiveTimes(second)
	if gossip.allActive(&sharing, set, second) {
		t.Error("peers that have sent nothing since the start are active")
	}
	gossip.receive(1, second, &gossipMessage{incarnation: 1})
	gossip.receive(2, second+replicaTimeout/2, &gossipMessage{incarnation: 1})
	if !gossip.allActive(&sharing, set, second+replicaTimeout) {
		t.Error("peers that have sent within the timeout are not active")
	}
	if gossip.allActive(&sharing, set, second+replicaTimeout+1) {
		t.Error("a peer that sent nothing for longer than the timeout is active")
	}
}

func TestGossipImportRequiresSameNumberOfGateways(t *testing.T) {
	known := []peer{{}, {incarnation: 4, sequence: 9, lastReceivedAt: second}}
	gossip := newGossipState(7, 2)
	gossip.importState(5, 30, known)
	if gossip.incarnation != 5 || gossip.sequence != 30 || gossip.peers[1].incarnation != 4 {
		t.Errorf("after the import: got %+v", gossip)
	}
	if received := gossip.receive(1, second, &gossipMessage{incarnation: 4, sequence: 9}); received.newest {
		t.Error("a message that the other process had received counts as the newest")
	}
	other := newGossipState(7, 3)
	other.importState(5, 30, known)
	if other.incarnation != 5 || other.peers[1].incarnation != 0 {
		t.Errorf("after the import from a process with fewer gateways: got %+v", other)
	}
}
