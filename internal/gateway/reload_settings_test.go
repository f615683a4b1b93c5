package gateway

import (
	"strings"
	"testing"

	"sparspread/internal/config"
)

// Classes are identified by name: an open request keeps its class after a reload, and no counter decreases.
func TestReloadChangesClasses(t *testing.T) {
	const (
		lookupClass = `{"name":"lookup","promise-us":10000000,"repeat":"retryable",` +
			`"group":"all","window-us":0,"worth":1},`
		strictClass = `{"name":"strict","promise-us":10000000,"repeat":"fragile",` +
			`"group":"all","window-us":0,"worth":2},`
		onceClass = `{"name":"once"` // the start of the class
	)
	r, b, d := startWithBackend(t, withOps)
	c := r.client(t)
	open := c.openLookup(b, 1)
	r.reloadWith(newConfig(t, d, func(f map[string]any) {
		withOps(f)
		// Class lookup is removed while one of its requests is open, the class "order" becomes the first
		// one, and the class "strict" is added.
		f["settings"] = editSettings(t, lookupClass, "", onceClass, strictClass+onceClass)
	}), nil)
	awaitMetric(t, r, "cfg_accepted=1")
	c2 := r.client(t)
	for range 2 * maxConsecutiveErrors { // errors for a removed class do not close the connection
		c2.sendLookup(2)
		if got := c2.readLine(); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("request of a removed class: got reply %q, want an error", got)
		}
	}
	c3 := r.client(t)
	c3.send("API.WRITE", "0000000000000007", "0000000000000003",
		"c=strict,t=team,d=60000,units=1,spread=1,first=0", "x")
	c3.wantServed(b, "new")
	open.reply(t, "-ERR failed\r\n") // its class, which is removed, allows a retry
	c.wantServed(b, "old")
	wantMetrics(t, r, "fulfilled.lookup=1", "relayed.lookup=2", "fulfilled.strict=1",
		"cfg_accepted=1", "cfg_invalid=0")
}

// Nothing of an invalid configuration takes effect, not even the address of discovery.
func TestInvalidReloadHasNoEffect(t *testing.T) {
	r, b, d := startWithBackend(t, withOps)
	elsewhere := newFakeDiscovery(t)
	withoutKeys := newConfig(t, elsewhere, withOps)
	withoutKeys.Keys = map[string]config.Present{"name": {}}
	r.reloadWith(withoutKeys, nil)
	for _, change := range [][2]string{
		{`,"max-attempts":3`, ""},
		{`,"window-us":0,"worth":1`, `,"worth":1`},
	} {
		r.reloadWith(newConfig(t, elsewhere, func(f map[string]any) {
			withOps(f)
			f["settings"] = editSettings(t, change[0], change[1])
		}), nil)
	}
	awaitMetric(t, r, "cfg_invalid=3")
	wantMetrics(t, r, "cfg_accepted=0")
	d.setEntries(b.listEntry("s-00000001", "Ready"))
	d.awaitWatch(t)
	if len(elsewhere.calls) > 0 {
		t.Error("a rejected configuration has changed the address of discovery")
	}
}
