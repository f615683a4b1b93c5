package gateway

import "log/slog"

// illegalStepMessage is the log message of a state machine that was to take a step which its table does not
// have: a fault of the program. The gateway goes on in the phase that it is in; tests fail by it.
const illegalStepMessage = "illegal step"

// reportIllegalStep returns what logs the illegal steps of a state machine.
func reportIllegalStep(log *slog.Logger) func(error) {
	return func(err error) { log.Error(illegalStepMessage, "error", err) }
}
