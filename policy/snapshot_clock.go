package policy

// The clocks of the two processes of a handover may differ: each process reads the wall clock once, at its
// start, and the wall clock may have been stepped between the two starts. Durations are the same by both
// clocks.

// writtenAt returns the time at which the snapshot was written, by the writer's clock. Snapshots of older
// versions lack it. Such a version refills all buckets when it writes a snapshot, so the newest update time
// of a bucket is used instead.
func (s *Snapshot) writtenAt() Time {
	if s.Now != 0 {
		return s.Now
	}
	newest := max(s.Born, s.Woke, s.Swept)
	for i := range s.Customers {
		newest = max(newest, Time(s.Customers[i].Store[bucketUpdatedAt]))
	}
	return newest
}

// rebase converts all times of the snapshot from the writer's clock to this process's, which reads now.
func (s *Snapshot) rebase(now Time) {
	shift := timeShift(now - s.writtenAt())
	s.Now = now
	shift.applyToTimes(&s.Born, &s.Woke, &s.Swept)
	for i := range s.HeardAt {
		shift.applyToTimes(&s.HeardAt[i])
	}
	shift.applyToBuckets(&s.Lend)
	shift.applyToSums(&s.InTime, &s.Peers, &s.PeersHeld, &s.PeersInTime, &s.Pace)
	for i := range s.RanAt {
		shift.applyToTimes(&s.RanAt[i])
	}
	for i := range s.Customers {
		customer := &s.Customers[i]
		shift.applyToBuckets(&customer.Store, &customer.Ceiling)
		shift.applyToSums(&customer.Use, &customer.Others, &customer.Metered)
		shift.applyToTimes(&customer.GrantAt, &customer.TellAt)
	}
	for i := range s.Backends {
		shift.applyToBackend(&s.Backends[i])
	}
	for i := range s.Open {
		for j := range s.Open[i].Attempts {
			shift.applyToTimes(&s.Open[i].Attempts[j].At)
		}
	}
}

// timeShift is an offset that is added to times. A time of zero is unset and stays zero.
type timeShift Time

func (shift timeShift) applyToTimes(times ...*Time) {
	for _, at := range times {
		if *at != 0 {
			*at += Time(shift)
		}
	}
}

func (shift timeShift) applyToBuckets(buckets ...*[4]float64) {
	for _, bucket := range buckets {
		if bucket[bucketUpdatedAt] != 0 {
			bucket[bucketUpdatedAt] += float64(shift)
		}
	}
}

func (shift timeShift) applyToSums(sums ...*[2]float64) {
	for _, sum := range sums {
		if sum[sumUpdatedAt] != 0 {
			sum[sumUpdatedAt] += float64(shift)
		}
	}
}

func (shift timeShift) applyToBackend(state *BackendState) {
	shift.applyToTimes(&state.Started, &state.Quiet, &state.SlowAt, &state.Left, &state.TrialAt)
	shift.applyToBuckets(&state.Cold)
	shift.applyToSums(&state.Breaks)
	for i := range state.Words {
		shift.applyToSums(&state.Words[i])
	}
}
