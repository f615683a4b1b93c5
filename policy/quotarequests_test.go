package policy

import (
	"math/rand/v2"
	"testing"
)

// participantSharing returns the sharing of a participant, and the account of its wide replica set, which has
// three coordinators and requires grants.
func participantSharing(t *testing.T) (*quotaSharing, account) {
	t.Helper()
	set := account{id: 9, replicas: 12}
	for self := range 12 {
		sharing := wideSharing(self, Plan{Rate: 18, Burst: 100})
		if sharing.isParticipant(&set) && sharing.requiresGrant(&set) && sharing.coordinatorCount(&set) == 3 {
			return &sharing, set
		}
	}
	t.Fatal("no gateway is a participant of a set with three coordinators")
	return nil, set
}

func TestPickCoordinatorPicksAnotherOnRetry(t *testing.T) {
	sharing, set := participantSharing(t)
	requests, random := newQuotaRequests(12), rand.New(rand.NewPCG(1, 2))
	seen := map[int]bool{}
	for range 60 {
		first := &request{}
		first.coordinator = requests.pickCoordinator(10*second, sharing, &set, first, random)
		seen[first.coordinator] = true
		first.quotaRequestsSent = 1
		again := requests.pickCoordinator(10*second, sharing, &set, first, random)
		if again == first.coordinator {
			t.Errorf("coordinator %d is picked again for a retry", again)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d of 3 coordinators were picked", len(seen))
	}
}

func TestPickCoordinatorAvoidsUnresponsive(t *testing.T) {
	sharing, set := participantSharing(t)
	requests, random := newQuotaRequests(12), rand.New(rand.NewPCG(1, 2))
	requests.unresponsiveAt[sharing.coordinator(&set, 1)] = 10 * second
	countPicked := func(at Time) (picked int) {
		for range 60 {
			if requests.pickCoordinator(at, sharing, &set, &request{}, random) == 1 {
				picked++
			}
		}
		return picked
	}
	if n := countPicked(10*second + unresponsiveTime); n != 0 {
		t.Errorf("%d of 60 requests ask the unresponsive coordinator, want none", n)
	}
	if n := countPicked(10*second + unresponsiveTime + 1); n == 0 {
		t.Error("no request asks the coordinator after it was avoided for long enough")
	}
	for i := range 3 {
		requests.unresponsiveAt[sharing.coordinator(&set, i)] = 20 * second
	}
	if n := countPicked(20 * second); n == 0 || n == 60 {
		t.Errorf("%d of 60 requests ask one of three unresponsive coordinators, want some", n)
	}
}

func TestRemoveEndedByAnswerAndTimeout(t *testing.T) {
	sharing, set := participantSharing(t)
	waitingCustomer := &customer{account: set}
	waiting := func(id uint64, quotaRequest byte, deadline Time, sent int) *request {
		return &request{
			Request: Request{ID: id}, customer: waitingCustomer,
			quotaRequest: quotaRequest, grantDeadline: deadline, quotaRequestsSent: sent,
		}
	}
	cases := []struct {
		name     string
		customer *customer
		answer   grant
		want     []quotaResult
		waiting  int
	}{
		{"no answer", nil, grant{}, []quotaResult{quotaUnanswered, quotaRetry}, 2},
		{
			"approved", waitingCustomer,
			grant{quotaRequest: 3, approved: true},
			[]quotaResult{quotaApproved, quotaUnanswered, quotaRetry},
			1,
		},
		{
			"denied", waitingCustomer,
			grant{quotaRequest: 4},
			[]quotaResult{quotaUnanswered, quotaDenied, quotaRetry},
			1,
		},
		{
			"answer for another customer", &customer{},
			grant{quotaRequest: 3},
			[]quotaResult{quotaUnanswered, quotaRetry},
			2,
		},
		{
			"approved after the deadline", waitingCustomer,
			grant{quotaRequest: 1, approved: true},
			[]quotaResult{quotaApproved, quotaUnanswered},
			2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requests := newQuotaRequests(12)
			requests.add(waiting(1, 1, second, 1))   // may ask another coordinator
			requests.add(waiting(3, 3, 3*second, 1)) // is not overdue
			requests.add(waiting(2, 2, second, 2))   // has asked another coordinator before
			requests.add(waiting(4, 4, 3*second, 1))
			var results []quotaResult
			for _, ended := range requests.removeEnded(2*second, sharing, c.customer, c.answer) {
				results = append(results, ended.result)
			}
			if len(results) != len(c.want) {
				t.Fatalf("results %v, want %v", results, c.want)
			}
			for i := range results {
				if results[i] != c.want[i] {
					t.Errorf("results %v, want %v", results, c.want)
				}
			}
			if len(requests.pending) != c.waiting {
				t.Errorf("%d requests still wait, want %d", len(requests.pending), c.waiting)
			}
		})
	}
}

func TestQuotaRequestTimeoutRecordsUnresponsiveCoordinator(t *testing.T) {
	sharing, set := participantSharing(t)
	requests := newQuotaRequests(12)
	requests.add(&request{customer: &customer{account: set}, coordinator: 2, grantDeadline: second})
	requests.removeEnded(2*second, sharing, nil, grant{})
	for gateway, at := range requests.unresponsiveAt {
		want := Time(0)
		if gateway == sharing.coordinator(&set, 2) {
			want = 2 * second
		}
		if at != want {
			t.Errorf("gateway %d was last unresponsive at %d, want %d", gateway, at, want)
		}
	}
}

func TestClosedRequestsAreDropped(t *testing.T) {
	sharing, set := participantSharing(t)
	waitingCustomer := &customer{account: set}
	ended := &request{Request: Request{ID: 1}, customer: waitingCustomer, quotaRequest: 1}
	open := &request{
		Request: Request{ID: 2}, customer: waitingCustomer, quotaRequest: 2, grantDeadline: 9 * second,
	}
	requests := newQuotaRequests(12)
	requests.add(ended)
	requests.add(open)
	requests.dropClosed(map[uint64]*request{2: open})
	if got := requests.removeEnded(second, sharing, waitingCustomer, grant{quotaRequest: 1}); len(got) != 0 {
		t.Errorf("%d quota requests ended, want none", len(got))
	}
	if removed := requests.removeOpen(map[uint64]*request{2: open}); len(removed) != 1 || removed[0] != open {
		t.Errorf("%d requests removed, want the open one", len(removed))
	}
	if len(requests.pending) != 0 {
		t.Errorf("%d requests still wait, want none", len(requests.pending))
	}
}
