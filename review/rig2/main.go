// Command rig2 has the stand-ins and the cases of the second review. Its arguments are the name of a case and
// the path of its record.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases has the cases of review/6 to review/10 and, after them, two plays that are no cases.
var cases = map[string]func(*world) int{
	"plan":   planCase,
	"memory": memoryCase,
	"linger": lingerCase,
	"slots":  slotsCase,
	"value":  valueCase,

	"reader":   readerCase,
	"pipeline": pipelineCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(notRun)
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		w.fail("ended by %v", <-signals)
	}()
	w.end(cases[os.Args[1]](w))
}
