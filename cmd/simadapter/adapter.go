package main

import (
	"fmt"

	"sparspread/internal/settings"
	"sparspread/internal/simproto"
	"sparspread/policy"
)

// adapter holds the controllers of a simulation, one for each running instance. The events of a batch are
// handled one after another, and all controllers write their actions to the same reply.
type adapter struct {
	controllers map[uint16]*policy.Controller // by instance
	reply       simproto.Reply
}

// newAdapter returns an adapter without instances.
func newAdapter() *adapter {
	return &adapter{controllers: map[uint16]*policy.Controller{}}
}

// handleBatch passes the events of a batch to their instances. It returns the frame of the reply with the
// resulting actions, which is valid until the next call.
func (a *adapter) handleBatch(batch *simproto.Batch) ([]byte, error) {
	a.reply.Reset(batch.Index)
	err := batch.Decode(func(instance uint16, event simproto.Event) {
		a.handleEvent(batch.Now, instance, event)
	})
	if err != nil {
		return nil, err
	}
	return a.reply.Bytes(), nil
}

// handleEvent passes an event to its instance. Events of instances that are not running are ignored. If a
// controller panics, its instance is removed and reported as failed.
func (a *adapter) handleEvent(now policy.Time, instance uint16, event simproto.Event) {
	a.reply.SetInstance(instance)
	defer func() {
		if reason := recover(); reason != nil {
			delete(a.controllers, instance)
			a.reply.InstanceFailed(fmt.Sprint("panic: ", reason))
		}
	}()
	switch e := event.(type) {
	case simproto.InstanceStarted:
		a.startInstance(instance, e)
	case simproto.InstanceStopped:
		delete(a.controllers, instance)
	default:
		if controller := a.controllers[instance]; controller != nil {
			deliver(controller, now, event)
		}
	}
}

// startInstance creates the controller of an instance from the event's settings and replaces an existing one.
// If the settings are invalid, the instance is reported as failed.
func (a *adapter) startInstance(instance uint16, event simproto.InstanceStarted) {
	controller, err := a.newController(event)
	if err != nil {
		delete(a.controllers, instance)
		a.reply.InstanceFailed(err.Error())
		return
	}
	a.controllers[instance] = controller
}

// newController returns a controller with the settings and the seed of the event.
func (a *adapter) newController(event simproto.InstanceStarted) (*policy.Controller, error) {
	parsed, err := settings.ParseText(event.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(parsed, event.Seed, &a.reply)
}

// deliver calls the controller's method for an event of a running instance.
func deliver(controller *policy.Controller, now policy.Time, event simproto.Event) {
	switch e := event.(type) {
	case simproto.EndpointsUpdated:
		controller.UpdateEndpoints(now, e.Kind, e.Endpoints)
	case simproto.RequestReceived:
		controller.RequestReceived(now, e.Request)
	case simproto.ResponseStarted:
		controller.ResponseStarted(now, e.RequestID)
	case simproto.AttemptEnded:
		controller.AttemptEnded(now, e.Outcome)
	case simproto.RequestCancelled:
		controller.RequestCancelled(now, e.RequestID)
	case simproto.TimerFired:
		controller.TimerFired(now, e.TimerID)
	case simproto.HealthCheckEnded:
		controller.HealthCheckEnded(now, e.Backend, e.Result, e.LoadReport)
	case simproto.GossipReceived:
		controller.GossipReceived(now, e.Sender, e.Message)
	case simproto.CounterAnswered:
		controller.CounterAnswered(now, e.Name, e.Result, e.Total)
	}
}
