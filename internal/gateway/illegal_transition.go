package gateway

import "log/slog"

// illegalTransitionMessage is the log message for a transition of a state machine that its table does not
// list, which is a bug in the program. The state machine stays in its current phase. Tests fail if it is
// logged.
const illegalTransitionMessage = "illegal step"

// reportIllegalTransition returns a function that logs the illegal transitions of a state machine.
func reportIllegalTransition(log *slog.Logger) func(error) {
	return func(err error) { log.Error(illegalTransitionMessage, "error", err) }
}
