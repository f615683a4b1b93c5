package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"sparspread/internal/config"
)

// twoProcesses gives the configuration of a gateway of which a second process can be started.
func twoProcesses(t *testing.T) (config.Config, *fakeBackend, *fakeDiscovery) {
	t.Helper()
	dir, err := os.MkdirTemp("", "h") // a short path: a Unix socket's name has few bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	t.Setenv("TMPDIR", dir)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	return configure(t, d, func(f map[string]any) {
		withOps(f)
		f["listen"] = free.Addr().String()
		// so slow that no wait of the test refills the bank
		f["settings"] = json.RawMessage(strings.Replace(settingsText, `"rate":0.1,`, `"rate":0.0001,`, 1))
	}), b, d
}

// door waits until a gateway can be asked to hand over.
func atDoor(t *testing.T, cfg config.Config) *net.UnixConn {
	t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); {
		conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: handoverSocketPath(cfg.Listen), Net: "unixpacket"})
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(patience))
			return conn
		}
	}
	t.Fatal("no door")
	return nil
}

// takesClients waits until a gateway is ready, or is so no more.
func takesClients(t *testing.T, r *rig, want int) {
	t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); {
		if got, _ := operate(t, r, "GET", "/ops/readiness"); got == want {
			return
		}
	}
	t.Fatal("readiness never was ", want)
}

// book sends a request that is sent on only once, however long its answer takes.
func (c *testClient) book(id int, plan string) {
	c.t.Helper()
	customer := fmt.Sprintf("%016x", plan[1])
	c.send("API.WRITE", customer, fmt.Sprintf("%016x", id), "c=once,t="+plan+",d=86400000,units=1,spread=1,first=0", "x")
}

// A second process takes over: open requests end where they were sent, connections follow with
// what was read of them, and no bank is granted from twice.
func TestSecondProcessTakesOver(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	first := begin(t, cfg)
	idle, busy, spent := first.client(t), first.client(t), first.client(t)
	idle.book(1, "team")
	b.next(t).serve(t, "one")
	idle.value("one")
	spent.book(2, "tiny")
	b.next(t).serve(t, "two")
	spent.value("two")
	busy.book(3, "team")
	open := b.next(t)

	second := begin(t, cfg)
	takesClients(t, second, 200)
	takesClients(t, first, 503)
	idle.book(4, "team")
	b.next(t).serve(t, "four")
	idle.value("four")
	spent.book(5, "tiny")
	if got := spent.line(); got != "-BUSY 2000" {
		t.Errorf("a burst was granted twice: %q", got)
	}
	busy.book(6, "team") // behind the one that stayed with the first process
	open.serve(t, "three")
	busy.value("three")
	b.next(t).serve(t, "six")
	busy.value("six")
	wantFigures(t, second, "fulfilled.once=2", "throttled.once=1")
	wantFigures(t, first, "fulfilled.once=3", "open_requests=0")

	first.shutDown()
	wait(t, first.ended, "the first process to end")
	late := second.client(t)
	late.book(7, "team")
	b.next(t).serve(t, "seven")
	late.value("seven")
}

// A third process takes over from the second, whose door stands where the first one's stood.
func TestEachProcessCanHandOver(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	first := begin(t, cfg)
	c := first.client(t)
	for i := range 3 {
		next := begin(t, cfg)
		takesClients(t, next, 200)
		first.shutDown()
		wait(t, first.ended, "the former process to end")
		first = next
		c.book(i, "team")
		b.next(t).serve(t, "ok")
		c.value("ok")
	}
}

// If the second process ends, the first serves again.
func TestFirstProcessServesAgain(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	first := begin(t, cfg)
	second := begin(t, cfg)
	takesClients(t, second, 200)
	second.shutDown()
	wait(t, second.ended, "the second process to end")
	takesClients(t, first, 200)
	c := first.client(t)
	c.book(1, "team")
	b.next(t).serve(t, "ok")
	c.value("ok")
	atDoor(t, cfg)
}

// A handover that is torn at any step leaves the first process serving, and the commands that
// came meanwhile are answered.
func TestTornHandoverChangesNothing(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	first := begin(t, cfg)
	c := first.client(t)
	id := 0
	serves := func() {
		id++
		c.book(id, "team")
		b.next(t).serve(t, "ok")
		c.value("ok")
	}
	for _, said := range []string{"", "x", "\x00", strings.Repeat("h", 63)} { // rubbish at the door
		conn := atDoor(t, cfg)
		if said != "" {
			if _, err := conn.Write([]byte(said)); err != nil {
				t.Fatal(err)
			}
		}
		conn.Close()
		serves()
	}
	conn := atDoor(t, cfg)
	buf := make([]byte, partSize+1)
	if err := put(conn, msgHello, nil); err != nil {
		t.Fatal(err)
	}
	_, _, files, err := get(conn, buf)
	closeAll(files)
	if err != nil || len(files) == 0 {
		t.Fatalf("%d sockets, %v", len(files), err)
	}
	if err := put(conn, msgTake, nil); err != nil {
		t.Fatal(err)
	}
	if kind, _, _, err := get(conn, buf); err != nil || kind != msgState {
		t.Fatalf("message %q, %v", kind, err)
	}
	id++
	c.book(id, "team") // held back until it is known who decides
	conn.Close()       // without having taken anything
	b.next(t).serve(t, "held")
	c.value("held")
	serves()

	second := begin(t, cfg) // and another one is led through as usual
	takesClients(t, second, 200)
	serves()
}

// A socket's file that nobody listens at keeps nobody from starting.
func TestStaleDoorIsPassedBy(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	old, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: handoverSocketPath(cfg.Listen), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	old.SetUnlinkOnClose(false)
	old.Close()
	c := begin(t, cfg).client(t)
	c.book(1, "team")
	b.next(t).serve(t, "ok")
	c.value("ok")
	atDoor(t, cfg)
}

// A command of which the first process has read a part is read to its end there, and decided on
// by the second.
func TestHalfACommandFollows(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	first := begin(t, cfg)
	c := first.client(t)
	c.send("PING")
	c.want("+PONG")
	c.raw("*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000")
	second := begin(t, cfg)
	takesClients(t, second, 200)
	c.raw("00000007\r\n$16\r\n0000000000000001\r\n$48\r\nc=lookup,t=team,d=60000,units=1,spread=1,first=0\r\n")
	b.next(t).serve(t, "ok")
	c.value("ok")
	wantFigures(t, second, "fulfilled.lookup=1")
}
