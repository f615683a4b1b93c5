package policy

import "testing"

func TestFaultOfResultIsClassOrPlan(t *testing.T) {
	open := &request{Request: Request{Class: 2, Plan: 1}}
	for _, c := range []struct {
		name    string
		result  Result
		stalled bool
		want    faultSubject
		isFault bool
	}{
		{name: "answer", result: ResultOK},
		{name: "full", result: ResultOverloaded, want: planSubject(1), isFault: true},
		{name: "error", result: ResultFailed, want: classSubject(2), isFault: true},
		{name: "error in a stall", result: ResultFailed, stalled: true, want: classSubject(2), isFault: true},
		{name: "late", result: ResultTimedOut, want: classSubject(2), isFault: true},
		{name: "late in a stall", result: ResultTimedOut, stalled: true},
		{name: "refused", result: ResultConnectFailed},
		{name: "reset", result: ResultReset},
		{name: "cancelled", result: ResultCancelled},
		{name: "not sent", result: ResultNotSent},
	} {
		got, isFault := open.faultOf(&attempt{overlappedStall: c.stalled}, c.result)
		if got != c.want || isFault != c.isFault {
			t.Errorf("%s: subject %d, fault %t; want %d, %t", c.name, got, isFault, c.want, c.isFault)
		}
	}
}

func TestPendingAttemptOfRequest(t *testing.T) {
	open := &request{attempts: attemptsSentAt(start, start)}
	open.attempts[0].pending = false
	for number, want := range map[int]*attempt{-1: nil, 0: nil, 1: open.attempts[1], 2: nil} {
		if got := open.pendingAttempt(number); got != want {
			t.Errorf("attempt %d: got %p, want %p", number, got, want)
		}
	}
	var unknown *request
	if unknown.pendingAttempt(0) != nil {
		t.Error("nil request has a pending attempt")
	}
	if !open.hasPendingAttempt() || !open.hasTried(open.attempts[0].backend) || open.hasTried(&backend{}) {
		t.Error("want one attempt pending, and only its backends tried")
	}
}
