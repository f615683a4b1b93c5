package policy

// discoveryWatch is the state of the watch on the endpoint list of service discovery.
type discoveryWatch struct {
	active              bool // an update that is not stale has arrived, and no failure since
	receivedCurrentList bool // an update that is not stale has arrived since the start of this gateway
	requestedAt         Time // the time of the last watch request
}

// recordRequest records a watch request to service discovery.
func (w *discoveryWatch) recordRequest(now Time) { w.requestedAt = now }

// recordFailure records that service discovery is unavailable.
func (w *discoveryWatch) recordFailure() { w.active = false }

// recordUpdate records an update. It reports whether an earlier update was not stale. If so, the starts that
// are new in this update happened after the earlier one.
func (w *discoveryWatch) recordUpdate(kind UpdateKind) (hadCurrentList bool) {
	hadCurrentList = w.receivedCurrentList
	w.active = w.active || kind != UpdateStale
	w.receivedCurrentList = w.receivedCurrentList || kind != UpdateStale
	return hadCurrentList
}

// isDue reports whether to request the watch again. It is due if the watch is not active and a quarter of the
// term, within which an ended watch must be renewed, has passed since the last request.
func (w *discoveryWatch) isDue(now, term Time) bool {
	const requestsPerTerm = 4
	return !w.active && now-w.requestedAt >= term/requestsPerTerm
}
