// Package policy makes the decisions of a gateway that keeps the customers of a shared service to
// their plans: which requests to admit, which backend gets an attempt, when to retry, which
// backends to eject, and how gateways share a customer's quota.
//
// A [Controller] does no I/O and reads no clock. Its host owns the clock, the sockets and the
// timers: it reports each event by a method call that carries the time, and carries out what the
// controller asks for through [Actions], in the order of the calls.
//
// The host
//   - calls a controller from one goroutine at a time, also not from within an Actions method;
//   - passes times in microseconds that never decrease;
//   - calls AttemptEnded exactly once for each Send, and HealthCheckEnded exactly once for each
//     HealthCheck;
//   - ends all attempts of a request by its deadline.
//
// A second or unknown outcome is ignored. A missing one makes the backend look busier than it is
// for as long as the controller lives.
//
// docs/design.md describes the mechanisms and gives the reasons for the tuning constants.
package policy
