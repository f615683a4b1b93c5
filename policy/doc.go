// Package policy makes the decisions of a gateway that enforces the plans of a shared service's
// customers: which requests to admit, which backend gets an attempt, when to retry, which backends
// to eject, and how gateways share a customer's quota.
//
// A [Controller] does no I/O and reads no clock. Its host owns the clock, the sockets and the
// timers: it reports each event by a method call that carries the time, and carries out the actions
// that the controller requests through [Actions], in the order of the calls.
//
// The host must:
//   - call a controller from one goroutine at a time, and never from within an Actions method;
//   - pass times in microseconds that never decrease;
//   - call AttemptEnded exactly once for each Send, and HealthCheckEnded exactly once for each
//     HealthCheck;
//   - end all attempts of a request by its deadline.
//
// A repeated or unknown outcome is ignored. An attempt without an outcome counts as load on its
// backend for the lifetime of the controller.
//
// docs/design.md describes the mechanisms and gives the reasons for the tuning constants.
package policy
