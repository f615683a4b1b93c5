package policy

import (
	"math/rand/v2"
	"testing"
)

// askedSharing is a wide set's sharing, seen from a participant, that has several coordinators and requires a
// grant, with its account.
func askedSharing(t *testing.T) (*quotaSharing, account) {
	t.Helper()
	set := account{id: 9, replicas: 12}
	for self := range 12 {
		sharing := wideSharing(self, Plan{Rate: 18, Burst: 100})
		if sharing.isParticipant(&set) && sharing.requiresGrant(&set) && sharing.coordinatorCount(&set) == 3 {
			return &sharing, set
		}
	}
	t.Fatal("no participant that asks three coordinators")
	return nil, set
}

func TestAnotherCoordinatorIsAskedTheSecondTime(t *testing.T) {
	sharing, set := askedSharing(t)
	grants, random := newQuotaRequests(12), rand.New(rand.NewPCG(1, 2))
	seen := map[int]bool{}
	for range 60 {
		first := &request{}
		first.coordinator = grants.pickCoordinator(10*second, sharing, &set, first, random)
		seen[first.coordinator] = true
		first.quotaRequestsSent = 1
		again := grants.pickCoordinator(10*second, sharing, &set, first, random)
		if again == first.coordinator {
			t.Errorf("coordinator %d is asked twice", again)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d of 3 coordinators were asked", len(seen))
	}
}

func TestUnresponsiveCoordinatorIsAvoidedForAWhile(t *testing.T) {
	sharing, set := askedSharing(t)
	grants, random := newQuotaRequests(12), rand.New(rand.NewPCG(1, 2))
	grants.unresponsiveAt[sharing.coordinator(&set, 1)] = 10 * second
	counts := func(at Time) (ofUnresponsive int) {
		for range 60 {
			if grants.pickCoordinator(at, sharing, &set, &request{}, random) == 1 {
				ofUnresponsive++
			}
		}
		return ofUnresponsive
	}
	if n := counts(10*second + unresponsiveTime); n != 0 {
		t.Errorf("%d of 60 requests ask a coordinator that did not answer", n)
	}
	if n := counts(10*second + unresponsiveTime + 1); n == 0 {
		t.Error("no request asks the coordinator again")
	}
	for i := range 3 {
		grants.unresponsiveAt[sharing.coordinator(&set, i)] = 20 * second
	}
	if n := counts(20 * second); n == 0 || n == 60 {
		t.Errorf("%d of 60 requests ask one of three that do not answer", n)
	}
}

func TestAnswersAndTimeoutsEndQuotaRequests(t *testing.T) {
	sharing, set := askedSharing(t)
	asking := &customer{account: set}
	waiting := func(id uint64, quotaRequest byte, deadline Time, sent int) *request {
		return &request{
			Request: Request{ID: id}, customer: asking,
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
			"approved", asking,
			grant{quotaRequest: 3, approved: true},
			[]quotaResult{quotaApproved, quotaUnanswered, quotaRetry},
			1,
		},
		{
			"denied", asking,
			grant{quotaRequest: 4},
			[]quotaResult{quotaUnanswered, quotaDenied, quotaRetry},
			1,
		},
		{
			"of another customer", &customer{},
			grant{quotaRequest: 3},
			[]quotaResult{quotaUnanswered, quotaRetry},
			2,
		},
		{
			"for an overdue one", asking,
			grant{quotaRequest: 1, approved: true},
			[]quotaResult{quotaApproved, quotaUnanswered},
			2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			grants := newQuotaRequests(12)
			grants.add(waiting(1, 1, second, 1))   // may ask another coordinator
			grants.add(waiting(3, 3, 3*second, 1)) // is not overdue
			grants.add(waiting(2, 2, second, 2))   // has asked another one
			grants.add(waiting(4, 4, 3*second, 1))
			var results []quotaResult
			for _, ended := range grants.removeEnded(2*second, sharing, c.customer, c.answer) {
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
			if len(grants.pending) != c.waiting {
				t.Errorf("%d still wait, want %d", len(grants.pending), c.waiting)
			}
		})
	}
}

func TestTimeoutMarksTheCoordinatorAsUnresponsive(t *testing.T) {
	sharing, set := askedSharing(t)
	grants := newQuotaRequests(12)
	grants.add(&request{customer: &customer{account: set}, coordinator: 2, grantDeadline: second})
	grants.removeEnded(2*second, sharing, nil, grant{})
	for gateway, at := range grants.unresponsiveAt {
		want := Time(0)
		if gateway == sharing.coordinator(&set, 2) {
			want = 2 * second
		}
		if at != want {
			t.Errorf("gateway %d is unresponsive since %d, want %d", gateway, at, want)
		}
	}
}

func TestRequestsThatEndedAreNotAnswered(t *testing.T) {
	sharing, set := askedSharing(t)
	asking := &customer{account: set}
	ended := &request{Request: Request{ID: 1}, customer: asking, quotaRequest: 1}
	open := &request{Request: Request{ID: 2}, customer: asking, quotaRequest: 2, grantDeadline: 9 * second}
	grants := newQuotaRequests(12)
	grants.add(ended)
	grants.add(open)
	grants.dropClosed(map[uint64]*request{2: open})
	if got := grants.removeEnded(second, sharing, asking, grant{quotaRequest: 1}); len(got) != 0 {
		t.Errorf("%d quota requests ended, want none", len(got))
	}
	if taken := grants.removeOpen(map[uint64]*request{2: open}); len(taken) != 1 || taken[0] != open {
		t.Errorf("%d requests taken, want the open one", len(taken))
	}
	if len(grants.pending) != 0 {
		t.Errorf("%d still wait", len(grants.pending))
	}
}
