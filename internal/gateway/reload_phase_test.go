package gateway

import (
	"errors"
	"testing"

	"sparspread/internal/config"
)

// errConfig is what is wrong with a configuration in these tests.
var errConfig = errors.New("a key is missing")

// fakeReloadGateway records what a reload has the gateway do.
type fakeReloadGateway struct {
	effects
	checkErr error
	during   func() // called while a configuration is checked
}

func (f *fakeReloadGateway) applyReload(config.Config) { f.record("applyReload") }
func (f *fakeReloadGateway) rejectConfig(error)        { f.record("rejectConfig") }

func (f *fakeReloadGateway) check(*config.Config) error {
	f.record("check")
	if f.during != nil {
		f.during()
	}
	return f.checkErr
}

func newFakeReload() (*reload, *fakeReloadGateway, *[]string) {
	log, illegal := newStepLog()
	f := &fakeReloadGateway{}
	return newReload(f, log), f, illegal
}

func TestReloadAppliesWhatIsRight(t *testing.T) {
	r, f, illegal := newFakeReload()
	for range 2 {
		r.load(config.Config{})
		f.want(t, "check", "applyReload")
		wantPhase(t, &r.phase, reloadNone)
	}
	wantIllegal(t, illegal)
}

func TestReloadAppliesNothingOfWhatIsWrong(t *testing.T) {
	r, f, illegal := newFakeReload()
	f.checkErr = errConfig
	r.load(config.Config{})
	f.want(t, "check", "rejectConfig")
	wantPhase(t, &r.phase, reloadNone)
	f.checkErr = nil
	r.load(config.Config{})
	f.want(t, "check", "applyReload")
	wantIllegal(t, illegal)
}

// A reload can't begin within another one.
func TestReloadRefusesIllegalSteps(t *testing.T) {
	r, f, illegal := newFakeReload()
	f.during = func() {
		wantPhase(t, &r.phase, reloadChecking)
		r.load(config.Config{})
	}
	r.load(config.Config{})
	f.want(t, "check", "applyReload")
	wantIllegal(t, illegal, "reload: no transition from checking to checking")
}
