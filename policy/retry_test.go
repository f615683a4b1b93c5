package policy

import "testing"

func TestRetryRule(t *testing.T) {
	x, y := &backend{Endpoint: Endpoint{Cell: 1}}, &backend{Endpoint: Endpoint{Cell: 2}}
	ran, notRun := &attempt{backend: x, sentAt: start, mayHaveRun: true}, &attempt{backend: y, sentAt: start}
	pending := &attempt{backend: x, sentAt: start, mayHaveRun: true, pending: true}
	idempotent, never := &Class{Idempotency: Idempotent}, &Class{Idempotency: NotIdempotent}
	perCell := &Class{Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: second}
	anywhere := &Class{Idempotency: IdempotentWithKey, DedupWindow: second}
	for _, c := range []struct {
		name     string
		class    *Class
		attempts []*attempt
		hedging  bool
		after    Time
		want     retryRule
	}{
		{name: "no attempt yet", class: never, want: retryRule{allowed: true, rejectable: true}},
		{
			name: "idempotent, may have run", class: idempotent, attempts: []*attempt{ran},
			want: retryRule{allowed: true, rejectable: true},
		},
		{
			name: "idempotent, still pending", class: idempotent, attempts: []*attempt{pending},
			want: retryRule{rejectable: true},
		},
		{
			name: "idempotent, still pending, hedging", class: idempotent, attempts: []*attempt{pending},
			hedging: true, want: retryRule{allowed: true, rejectable: true},
		},
		{
			name: "not idempotent, did not run", class: never, attempts: []*attempt{notRun, notRun},
			want: retryRule{allowed: true, rejectable: true},
		},
		{name: "not idempotent, may have run", class: never, attempts: []*attempt{notRun, ran}},
		{
			name: "key in its window", class: perCell, attempts: []*attempt{notRun, ran}, after: second / 2,
			want: retryRule{allowed: true, sameScopeAs: ran},
		},
		{
			name: "key after its window", class: perCell, attempts: []*attempt{ran}, after: second,
			want: retryRule{sameScopeAs: ran},
		},
		{
			name: "key in all cells", class: anywhere, attempts: []*attempt{ran},
			want: retryRule{allowed: true, sameScopeAs: ran, rejectable: true},
		},
		{
			name: "key that did not run", class: perCell, attempts: []*attempt{notRun}, after: 9 * second,
			want: retryRule{allowed: true, rejectable: true},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.class.retryRuleAfter(c.attempts, c.hedging, start+c.after, 1000); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestRetryBudgetGrowsWithRequestsUpToMaximum(t *testing.T) {
	var budget retryBudget
	for range 5 {
		if budget.affords(ranRetryCost) {
			t.Errorf("budget %g affords a retry before five requests", budget)
		}
		budget.deposit()
	}
	if !budget.affords(ranRetryCost) {
		t.Errorf("budget %g does not afford a retry after five requests", budget)
	}
	budget.spend(ranRetryCost)
	assertNear(t, "budget after a retry", float64(budget), 0)
	for range 1000 {
		budget.deposit()
	}
	assertNear(t, "budget after many requests", float64(budget), 10)
	budget.split()
	assertNear(t, "budget after a split", float64(budget), 5)
}

func TestRetryCostDependsOnLastAttempt(t *testing.T) {
	for _, c := range []struct {
		result     Result
		mayHaveRun bool
		want       retryBudget
	}{
		{ResultFailed, true, ranRetryCost},
		{ResultReset, true, ranRetryCost},
		{ResultOverloaded, false, notRunRetryCost},
		{ResultConnectFailed, false, notRunRetryCost},
		{ResultNotSent, false, 0},
	} {
		if got := retryCost(&attempt{mayHaveRun: c.mayHaveRun}, c.result); got != c.want {
			t.Errorf("after result %d: got %g, want %g", c.result, got, c.want)
		}
	}
}

func TestClassPermitsOnlyBackendsInDedupScope(t *testing.T) {
	first := &backend{Endpoint: Endpoint{Zone: 1, Cell: 1}}
	sameCell, sameZone := &backend{Endpoint: first.Endpoint}, &backend{Endpoint: Endpoint{Zone: 1, Cell: 2}}
	elsewhere := &backend{Endpoint: Endpoint{Zone: 2, Cell: 3}}
	for _, c := range []struct {
		scope DedupScope
		want  [3]bool // same cell, same zone, elsewhere
	}{
		{DedupAll, [3]bool{true, true, true}},
		{DedupZone, [3]bool{true, true, false}},
		{DedupCell, [3]bool{true, false, false}},
	} {
		class := &Class{DedupScope: c.scope}
		for i, backend := range []*backend{sameCell, sameZone, elsewhere} {
			if got := class.permits(&attempt{backend: first}, backend); got != c.want[i] {
				t.Errorf("scope %d, backend %d: permitted %t", c.scope, i, got)
			}
			if !class.permits(nil, backend) {
				t.Errorf("scope %d, backend %d: not permitted without an earlier attempt", c.scope, i)
			}
		}
	}
}
