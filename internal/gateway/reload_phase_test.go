package gateway

import (
	"errors"
	"testing"

	"sparspread/internal/config"
)

// errConfig is the error of an invalid configuration in these tests.
var errConfig = errors.New("missing key")

// fakeReloadGateway records the calls that a reload makes.
type fakeReloadGateway struct {
	callRecorder
	checkErr error
	during   func() // called by applySettings
}

func (f *fakeReloadGateway) applyReload(config.Config) { f.record("applyReload") }
func (f *fakeReloadGateway) rejectConfig(error)        { f.record("rejectConfig") }

func (f *fakeReloadGateway) applySettings(*config.Config) error {
	f.record("applySettings")
	if f.during != nil {
		f.during()
	}
	return f.checkErr
}

func newFakeReload() (*reload, *fakeReloadGateway, *[]string) {
	log, illegal := newIllegalTransitionLog()
	f := &fakeReloadGateway{}
	return newReload(f, log), f, illegal
}

func TestReloadAppliesValidConfiguration(t *testing.T) {
	r, f, illegal := newFakeReload()
	for range 2 {
		r.load(config.Config{})
		f.wantCalls(t, "applySettings", "applyReload")
		wantPhase(t, &r.phase, reloadNone)
	}
	wantIllegalTransitions(t, illegal)
}

func TestReloadRejectsInvalidConfiguration(t *testing.T) {
	r, f, illegal := newFakeReload()
	f.checkErr = errConfig
	r.load(config.Config{})
	f.wantCalls(t, "applySettings", "rejectConfig")
	wantPhase(t, &r.phase, reloadNone)
	f.checkErr = nil
	r.load(config.Config{})
	f.wantCalls(t, "applySettings", "applyReload")
	wantIllegalTransitions(t, illegal)
}

// A reload cannot start during another one.
func TestReloadRejectsIllegalTransitions(t *testing.T) {
	r, f, illegal := newFakeReload()
	f.during = func() {
		wantPhase(t, &r.phase, reloadChecking)
		r.load(config.Config{})
	}
	r.load(config.Config{})
	f.wantCalls(t, "applySettings", "applyReload")
	wantIllegalTransitions(t, illegal, "reload: no transition from checking to checking")
}
