package gateway

// The descriptors for neither clients nor backends, at most.
const (
	runtimeFiles   = 7              // standard streams 3, the poller and what wakes it 2, the control group's limit 2
	ownFiles       = 5              // the listener, the peers' socket, the door and who stands at it, the configuration
	discoveryFiles = 2              // one for an address: a dial to the one before may still hang
	counterFiles   = 2 * countLines // the same
	opsFiles       = 2              // the listener, and the caller that another one is cut off for

	spareFiles  = 24 // that no share counts on, where there are many
	leastBeyond = 4  // clients over their share, that can be turned away
)

// files is how the descriptors that the process may open are shared out.
type files struct {
	share   int // for connections of clients, and as many to backends
	room    int // for connections of clients, those that are to be turned away among them
	callers int // for connections of operators
}

// shareOut gives two in five descriptors to clients and as many to backends, and never more than
// all the others leave: a connection that finds no descriptor is one that the gateway can't
// refuse, and discovery's may be the one.
func shareOut(sockets int, counter bool) files {
	f := files{callers: min(opsCallers, max(2, sockets/16))}
	others := runtimeFiles + ownFiles + discoveryFiles + opsFiles + f.callers
	if counter {
		others += counterFiles
	}
	f.share = min((sockets-spareFiles)*2/5, (sockets-others-leastBeyond)/2)
	f.room = f.share + max(leastBeyond, f.share/4)
	return f
}
