package main

import (
	"fmt"

	"sparspread/internal/settings"
	"sparspread/internal/simproto"
	"sparspread/policy"
)

// adapter owns the controllers of a simulation, one for each running instance. All of them write their
// actions to the one reply; the events of a batch are handled one after the other.
type adapter struct {
	controllers map[uint16]*policy.Controller // by instance
	reply       simproto.Reply
}

// newAdapter returns an adapter without instances.
func newAdapter() *adapter {
	return &adapter{controllers: map[uint16]*policy.Controller{}}
}

// handleBatch passes the events of a batch to their instances and returns the frame of the actions, which is
// valid until the next call.
func (a *adapter) handleBatch(batch *simproto.Batch) ([]byte, error) {
	a.reply.Reset(batch.Index)
	err := batch.Decode(func(event *simproto.Event) { a.handleEvent(batch.Now, event) })
	if err != nil {
		return nil, err
	}
	return a.reply.Bytes(), nil
}

// handleEvent passes one event to its instance; events of instances that do not run are ignored. An instance
// that panics is removed and reported as failed.
func (a *adapter) handleEvent(now policy.Time, event *simproto.Event) {
	a.reply.SetInstance(event.Instance)
	defer func() {
		if reason := recover(); reason != nil {
			delete(a.controllers, event.Instance)
			a.reply.InstanceFailed(fmt.Sprint("panic: ", reason))
		}
	}()
	switch event.Kind {
	case simproto.InstanceStarted:
		a.startInstance(event)
	case simproto.InstanceStopped:
		delete(a.controllers, event.Instance)
	default:
		if controller := a.controllers[event.Instance]; controller != nil {
			deliver(controller, now, event)
		}
	}
}

// startInstance makes a controller from the event's settings, in place of any that the instance had. Settings
// that cannot be served are reported as a failure of the instance.
func (a *adapter) startInstance(event *simproto.Event) {
	controller, err := a.newController(event)
	if err != nil {
		delete(a.controllers, event.Instance)
		a.reply.InstanceFailed(err.Error())
		return
	}
	a.controllers[event.Instance] = controller
}

// newController makes the controller of an instance from its settings.
func (a *adapter) newController(event *simproto.Event) (*policy.Controller, error) {
	parsed, err := settings.ParseText(event.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(parsed, event.Seed, &a.reply)
}

// deliver calls the controller's method for an event.
func deliver(controller *policy.Controller, now policy.Time, event *simproto.Event) {
	switch event.Kind {
	case simproto.EndpointsUpdated:
		controller.UpdateEndpoints(now, event.UpdateKind, event.Endpoints)
	case simproto.RequestReceived:
		controller.RequestReceived(now, event.Request)
	case simproto.ResponseStarted:
		controller.ResponseStarted(now, event.Outcome.RequestID)
	case simproto.AttemptEnded:
		controller.AttemptEnded(now, event.Outcome)
	case simproto.RequestCancelled:
		controller.RequestCancelled(now, event.Outcome.RequestID)
	case simproto.TimerFired:
		controller.TimerFired(now, event.TimerToken)
	case simproto.HealthCheckEnded:
		controller.HealthCheckEnded(now, event.Backend, event.Result, event.LoadReport)
	case simproto.GossipReceived:
		controller.GossipReceived(now, event.Sender, event.Gossip)
	case simproto.CounterAnswered:
		controller.CounterAnswered(now, event.CounterName, event.Result, event.CounterTotal)
	case simproto.InstanceStarted, simproto.InstanceStopped:
		// Events of the adapter itself: handleEvent has handled them.
	}
}
