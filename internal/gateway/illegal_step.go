package gateway

import "log/slog"

// illegalStepMessage is the log message for a step of a state machine that its table does not list, which is
// a bug in the program. The gateway stays in its current phase. Tests fail if the message is logged.
const illegalStepMessage = "illegal step"

// reportIllegalStep returns a function that logs the illegal steps of a state machine.
func reportIllegalStep(log *slog.Logger) func(error) {
	return func(err error) { log.Error(illegalStepMessage, "error", err) }
}
