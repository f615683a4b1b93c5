package policy

// discoveryWatch is the state of the watch on the endpoint list, where the list is polled: whether to ask
// again, and whether what is listed tells of starts.
type discoveryWatch struct {
	active      bool // an answer has come, and no error since
	listed      bool // a list has come that is not from before this gateway's start
	requestedAt Time
}

// request notes that service discovery is asked now.
func (w *discoveryWatch) request(now Time) { w.requestedAt = now }

// fail notes that service discovery is unavailable.
func (w *discoveryWatch) fail() { w.active = false }

// receive notes an update. It returns whether there was a list before that is not from before this gateway's
// start.
func (w *discoveryWatch) receive(kind UpdateKind) (listedBefore bool) {
	listedBefore = w.listed
	w.active = w.active || kind != UpdateStale
	w.listed = w.listed || kind != UpdateStale
	return listedBefore
}

// isDue reports whether to ask again, as the watch has failed, or was not answered yet, for a part of the
// term within which it is to be renewed.
func (w *discoveryWatch) isDue(now, term Time) bool {
	const requestsPerTerm = 4
	return !w.active && now-w.requestedAt >= term/requestsPerTerm
}
