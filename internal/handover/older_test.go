package handover

// The forms in which the program of commit d086cf6 reads and writes a handover, as it declares them. They stand here
// a second time on purpose: what gob can't match by its name it passes over without an error.

type olderHandoverState struct {
	Version int
	NextID  uint64
	Members []olderMember
	Module  *olderSnapshot
}

type olderMember struct {
	ID       string
	HostPort string
	Locality string
	Cell     int
	Phase    string
	Size     float64
	UpSince  int64
}

type olderSnapshot struct {
	Classes, Plans []string

	Born, Still, Woke, Swept int64
	Boot                     uint32
	Turn                     byte
	Boots                    []uint32
	HeardAt                  []int64
	Turns                    []byte

	Lend      [4]float64
	IdleSpill []float64
	Customers []olderCustomerState
	Backends  []olderBackendState
	Open      []olderOpenState

	InTime, Peers, PeersHeld, PeersInTime, Pace [2]float64
	Mean, ColdMean, Late, Worth                 [2]float64
	Base                                        [][2]float64
	Grace                                       [][][2]float64
	Again                                       float64
}
type olderCustomerState struct {
	ID                             uint64
	Plan, First, Spread            int
	Store, Ceiling                 [4]float64
	Taken, Told, Asked, AskedTold  float64
	LastAsk, Grant, Slice, Granted float64
	Total, Part                    float64
	Use, Others, Metered           [2]float64
	Heard                          []olderHeardState
	Tallies                        [][3]float64
	GrantAt, TellAt                int64
	Asks                           byte
}
type olderHeardState struct {
	Known        bool
	Boot         uint32
	Taken, Asked uint16
}
type olderBackendState struct {
	Backend                            uint32
	Started, Quiet, SlowAt, Left, Wait int64
	TrialAt                            int64
	Slow, Errs                         float64
	Down, Silent                       bool
	Breaks                             [2]float64
	Words                              [][2]float64
	Cold                               [4]float64
}
type olderOpenState struct {
	ID, Customer uint64
	Class, Plan  int
	Units        float64
	Attempts     []olderAttemptState
}
type olderAttemptState struct {
	Backend                      uint32
	At                           int64
	Pending, Late, Blind, MayRun bool
}
